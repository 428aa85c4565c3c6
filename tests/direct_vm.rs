//! Tests of `lentilspoke serve` with direct access, run as a process.

mod command;
mod ports;

use command::File;
use lentilspoke::net::http;
use ports::free;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command};

/// A process and its output; killed when the test ends.
struct Vm {
    child: Child,
    lines: BufReader<std::io::PipeReader>,
}

impl Vm {
    /// Starts it as the platform does, with the path of the settings in the environment.
    fn start(settings: &File) -> Self {
        let (reader, writer) = std::io::pipe().unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lentilspoke"))
            .arg("serve")
            .env("LENTILSPOKE_CONFIG", settings.path())
            .env_remove("RUST_LOG")
            .stdout(writer.try_clone().unwrap())
            .stderr(writer)
            .spawn()
            .unwrap();
        Self {
            child,
            lines: BufReader::new(reader),
        }
    }

    /// Reads its output up to a line that contains `text`.
    fn wait_for(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            let read = self.lines.read_line(&mut line).unwrap();
            assert_ne!(read, 0, "it ended before it wrote `{text}`");
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A VM that starts while the platform's store is down is not ready, so the balancer sends it no
/// callers. It refuses broken settings on SIGHUP, logs why and keeps the old ones; repaired
/// settings are loaded. A planned stop ends it in time.
#[actix_rt::test]
async fn a_vm_without_a_store_is_not_ready_reloads_and_stops() {
    let (callers, peers, ready, admin, nobody) = (free(), free(), free(), free(), free());
    let text = format!(
        r#"{{
            "vm": "vm1", "domain": "mombasa", "callers": "{callers}", "peers": "{peers}",
            "admin": "{admin}", "platform": ["{nobody}"],
            "direct": {{"ready": "{ready}", "orders": "{nobody}", "seeds": [], "grace": "6s",
                "regions": {{"mombasa": "coast"}}, "descriptors": 4200}}
        }}"#
    );
    let settings = File::new(&text);
    let mut vm = Vm::start(&settings);
    vm.wait_for(&format!("ready {callers}"));
    let status = async |address, path| http::get(address, path).await.unwrap().status.as_u16();
    assert_eq!(status(ready, "/any/path").await, 503);
    assert_eq!(status(admin, "/dump").await, 200);
    assert_eq!(status(admin, "/metrics").await, 200);
    assert_eq!(status(admin, "/config").await, 404);

    std::fs::write(settings.path(), text.replace("6s", "six")).unwrap();
    vm.signal("-HUP");
    vm.wait_for("settings refused, the old ones stay");
    std::fs::write(settings.path(), text.replace("6s", "5s")).unwrap();
    vm.signal("-HUP");
    vm.wait_for("settings taken up");

    vm.signal("-TERM");
    vm.wait_for("stopped");
    assert!(vm.child.wait().unwrap().success());
}
