//! Distributed rate limits: enforces each organisation's allowance over all VMs together.
//!
//! Without a limit, a few organisations that send many times their allowance take the databases' slots
//! from all others. Equal shares for each VM don't work, since callers are spread unevenly: an organisation
//! whose callers connect to two VMs of eighty would be refused nearly all of its allowance.
//!
//! An allowance is split between at most [`allocator::MAX_ALLOCATORS`] VMs, its allocators, spread over the
//! regions. Each has a token bucket ([`crate::admission::bucket::Bucket`]). A VM that runs an operation takes a
//! token from its [`cache::Cache`], and requests more from the nearest allocator when the cache is empty. Where
//! routes differ in priority, operations wait for a token in order of urgency
//! ([`crate::admission::tokens::Queue`]).
//!
//! Nothing is stored beyond a VM's life: a bucket starts empty, so that the previous life and this one
//! together stay within the allowance.

pub mod allocator;
pub mod cache;
mod claim;
mod spend;

pub use claim::{Claimed, Decision, Waiting};
pub use spend::{Demand, Quotas, Refusal, Standing};
