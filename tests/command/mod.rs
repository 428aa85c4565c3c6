//! Runs the binary as an operator does.
#![allow(dead_code, reason = "each test file uses its part")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio_postgres::{Client, NoTls};

pub const DOCUMENT: &str = r#"{
    "groups": {
        "ledger1": {
            "databases": {
                "a": {"address": "10.0.1.1:5432", "domain": "mombasa", "slots": 3, "connections": 25}
            }
        }
    },
    "pools": {"brokers": {"groups": ["ledger1"]}}
}
"#;

/// Runs the binary and returns its exit code, standard output and standard error.
pub fn lentilspoke(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_lentilspoke"))
        .args(arguments)
        .output()
        .unwrap();
    let code = output.status.code().unwrap();
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).trim_end().to_owned();
    let printed = [text(&output.stdout), text(&output.stderr)].join("");
    format!("exit {code}\n{printed}")
}

/// A running process of the binary, killed on drop.
pub struct Process {
    child: Child,
    /// The first line that it printed.
    pub line: String,
}

impl Process {
    /// Starts the process and waits for its first line of output.
    pub fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lentilspoke"))
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        Self { child, line }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Connects to a proxy as a broker of `ledger1`, with these startup options.
pub async fn broker(address: SocketAddr, options: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("broker")
        .dbname("ledger1")
        .options(options);
    let (client, connection) = config.connect(NoTls).await?;
    actix_rt::spawn(async {
        let _ = connection.await;
    });
    Ok(client)
}

/// A temporary file, deleted on drop.
pub struct File(PathBuf);

impl File {
    pub fn new(text: &str) -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("lentilspoke-{}-{number}.jsonc", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }

    /// The text with this file's path replaced by FILE.
    pub fn anonymous(&self, printed: &str) -> String {
        printed.replace(self.path(), "FILE")
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}
