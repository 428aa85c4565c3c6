//! The command line's entry: dispatch to a subcommand and nothing else.

fn main() {}
