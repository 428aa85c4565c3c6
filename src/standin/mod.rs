//! Test doubles of the external systems, for tests and the demo: a group of databases that speaks
//! the PostgreSQL protocol, and the platform's services. Faults are injected by method calls.

pub mod database;
pub mod demo;
pub mod deployment;
pub mod direct;
pub mod fake;
pub mod platform;
