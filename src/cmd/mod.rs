//! A module for each subcommand.

pub mod experiment;
