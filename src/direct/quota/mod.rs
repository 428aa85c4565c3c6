//! Allowances: what an organisation may ask for over all VMs, counted by a few of them.
//!
//! **Pattern answered.** A few organisations send many times what they may, by way of VMs that their
//! callers are dealt to unevenly, while VMs start, stop and are cut off.
//! **Without it** they take the databases' slots from all others; with equal shares for each VM, an
//! organisation whose callers come by two VMs of eighty is refused nearly all that it may ask for.
//!
//! An allowance is shared out to at most [`keeper::KEEPERS`] VMs, one in each region, that each keep a
//! [`bucket::Bucket`]. Whoever has an operation to run takes a token out of its [`purse::Purse`], and asks
//! the keeper near by for more where there is none. Nothing is kept beyond a VM's life: a bucket starts
//! empty, so that its life before and this one together stay within the allowance.

pub mod bucket;
pub mod keeper;
pub mod purse;
mod spend;

pub use spend::{Quotas, Refusal};
