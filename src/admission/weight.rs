//! Weighted rendezvous hashing: which VMs own connections to a database or allocate tokens.
//!
//! This handles VMs of uneven strength (0.12 and 0.5 cores). With equal weights a VM of 0.12 cores serves as much
//! for the others as one of 0.5, and its processor becomes the bottleneck of every database that it owns.
//!
//! A VM's score depends on its hash and its weight only, as in plain rendezvous hashing, so a VM that joins or
//! leaves changes only what it is chosen for itself. Everything is integer arithmetic: all VMs get the same
//! order, whatever their platform's floating-point library.

use crate::types::Cores;
use std::cmp::Reverse;

/// A VM counts as at most this many times as strong as the median VM, and at least as strong as this fraction
/// of it. Without the limit, 3 VMs of 16 cores among 60 of 0.12 would own nearly every database, and their loss
/// would move everything.
pub const MAX_RATIO: u32 = 4;

/// The table of logarithms has `2^TABLE_BITS` intervals. The error of interpolation is then below half a percent
/// for the high hashes, which decide.
const TABLE_BITS: u32 = 6;
const TABLE_SIZE: usize = 1 << TABLE_BITS;

/// Logarithms have this many fractional bits.
const FRACTION_BITS: u32 = 32;

/// A logarithm is at most 64 and thus has [`FRACTION_BITS`] + 7 bits. It is shifted by the rest before it is
/// divided by a weight.
const SHIFT: u32 = 64 - FRACTION_BITS - 7;

/// `log2(1 + i / TABLE_SIZE)`.
static LOGARITHMS: [u64; TABLE_SIZE + 1] = logarithms();

/// How strong a VM is, relative to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Weight(u32);

/// A VM's rank in a choice; the highest score is chosen first.
///
/// Divides the negative logarithm of the hash by the weight; of equal quotients the higher hash wins, so that
/// equal weights give exactly the order of the hashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Score(Reverse<u64>, u64);

/// The median strength of the VMs of which it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Median(u32);

impl Median {
    /// The median of these VMs.
    pub fn of(cores: impl IntoIterator<Item = Cores>) -> Self {
        let known = cores.into_iter().filter(|cores| *cores != Cores::default());
        let mut known: Vec<u32> = known.map(|cores| cores.thousandths()).collect();
        let Some(middle) = known.len().checked_sub(1).map(|last| last / 2) else {
            return Self(1);
        };
        let (_, median, _) = known.select_nth_unstable(middle);
        Self(*median)
    }

    /// The weight of a VM with these cores; that of the median if they are not known.
    pub fn weigh(self, cores: Cores) -> Weight {
        let least = self.0.div_ceil(MAX_RATIO);
        let most = self.0.saturating_mul(MAX_RATIO);
        match cores == Cores::default() {
            true => Weight(self.0),
            false => Weight(cores.thousandths().clamp(least, most)),
        }
    }
}

/// The score of a VM with this weight, from a hash of the VM and of what it is chosen for. The VM is the first
/// choice for a share of all hashes that is proportional to its weight.
pub fn score(hash: u64, weight: Weight) -> Score {
    let quotient = (negative_logarithm(hash) << SHIFT) / u64::from(weight.0.max(1));
    Score(Reverse(quotient), hash)
}

/// `-log2(hash / 2^64)`, which never rises as the hash rises.
fn negative_logarithm(hash: u64) -> u64 {
    let hash = hash.max(1);
    let zeros = hash.leading_zeros();
    let mantissa = hash << zeros << 1;
    let index = (mantissa >> (64 - TABLE_BITS)) as usize;
    let rest = u128::from(mantissa << TABLE_BITS);
    let (low, high) = (LOGARITHMS[index], LOGARITHMS[index + 1]);
    let fraction = low + ((u128::from(high - low) * rest) >> 64) as u64;
    (u64::from(zeros + 1) << FRACTION_BITS) - fraction
}

const fn logarithms() -> [u64; TABLE_SIZE + 1] {
    let mut table = [0; TABLE_SIZE + 1];
    let mut index = 0;
    while index < TABLE_SIZE {
        table[index] = fractional_logarithm((TABLE_SIZE + index) as u64);
        index += 1;
    }
    table[TABLE_SIZE] = 1 << FRACTION_BITS;
    table
}

/// The logarithm of `value / TABLE_SIZE`, a number from 1 to 2, digit by digit: squaring the number doubles its
/// logarithm.
const fn fractional_logarithm(value: u64) -> u64 {
    let mut number = (value as u128) << (63 - TABLE_BITS);
    let mut logarithm = 0;
    let mut digit = 0;
    while digit < FRACTION_BITS {
        number = (number * number) >> 63;
        logarithm <<= 1;
        if number >> 64 > 0 {
            number >>= 1;
            logarithm |= 1;
        }
        digit += 1;
    }
    logarithm
}
