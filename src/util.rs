//! Small things that several subcommands share.

use crate::logs;
use std::io::Write;
use tokio::signal::unix::{SignalKind, signal};

/// Sends logs to stderr, one line each: the level, where, the text, and its key-values. The
/// environment variable `RUST_LOG` goes before `level`.
pub fn log(level: log::LevelFilter) {
    log_after(level, String::new);
}

/// The same, each line after what `prefix` gives at that moment.
pub fn log_after(level: log::LevelFilter, prefix: fn() -> String) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_module("lentilspoke", level)
        .parse_default_env();
    builder.format(move |out, record| {
        let (level, target) = (record.level(), record.target());
        writeln!(out, "{}{level} {target} {}", prefix(), logs::body(record))
    });
    // A second call, by a test in the same process, changes nothing.
    let _ = builder.try_init();
}

/// Completes on SIGTERM or SIGINT, which ask for a planned stop. Either is caught from now on.
pub fn asked_to_stop() -> std::io::Result<impl Future<Output = ()> + 'static> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
