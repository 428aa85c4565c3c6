//! Logging and signal handling shared by several subcommands.

use crate::logs;
use std::io::Write;
use tokio::signal::unix::{SignalKind, signal};

/// Sends logs to stderr as lines of level, target, message and key-values. The environment variable
/// `RUST_LOG` overrides `level`.
pub fn log(level: log::LevelFilter) {
    log_after(level, String::new);
}

/// Like [`log`], with each line preceded by the text that `prefix` returns at that time.
pub fn log_after(level: log::LevelFilter, prefix: fn() -> String) {
    let mut builder = env_logger::Builder::new();
    builder
        .filter_module("lentilspoke", level)
        .parse_default_env();
    builder.format(move |out, record| {
        let (level, target) = (record.level(), record.target());
        writeln!(out, "{}{level} {target} {}", prefix(), logs::body(record))
    });
    // A second call, by another test in the same process, has no effect.
    let _ = builder.try_init();
}

/// Installs handlers for SIGTERM and SIGINT, and returns a future that completes on either one.
/// Both ask for a planned stop. Fails if a handler can't be installed.
pub fn stop_signal() -> std::io::Result<impl Future<Output = ()> + 'static> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
