//! `lentilspoke serve`: proxies as separate processes, with simulated databases and real clients.

mod command;
mod ports;

use command::{File, broker, lentilspoke};
use lentilspoke::config::{Document, Group};
use lentilspoke::core::member::Member;
use lentilspoke::standin::database::{self, Spec};
use lentilspoke::standin::platform::{self, Platform};
use lentilspoke::types::Term;
use ports::free;
use std::net::SocketAddr;
use tokio_postgres::Client;

/// A proxy's process and its listening addresses.
struct Proxy {
    callers: SocketAddr,
    admin: SocketAddr,
    _process: command::Process,
    _settings: File,
}

fn serve(vm: &str, platform: &platform::Handle) -> Proxy {
    let (callers, peers, admin) = (free(), free(), free());
    let settings = File::new(&format!(
        r#"{{
            // One small entry VM.
            "vm": "{vm}", "domain": "mombasa",
            "callers": "{callers}", "peers": "{peers}", "admin": "{admin}",
            "platform": ["{}"]
        }}"#,
        platform.address()
    ));
    let process = command::Process::start(&["serve", settings.path()]);
    assert_eq!(process.line, format!("ready {callers}\n"));
    platform.join(Member {
        vm: vm.parse().unwrap(),
        address: peers,
        domain: "mombasa".parse().unwrap(),
        leaving: false,
    });
    Proxy {
        callers,
        admin,
        _process: process,
        _settings: settings,
    }
}

fn databases() -> database::Handle {
    let text = r#"{"databases": {
        "a": {"address": "127.0.0.1:0", "domain": "mombasa", "slots": 3, "connections": 25},
        "b": {"address": "127.0.0.1:0", "domain": "mombasa", "slots": 3, "connections": 25},
        "c": {"address": "127.0.0.1:0", "domain": "mombasa", "slots": 3, "connections": 25}
    }}"#;
    let group: Group = serde_json::from_str(text).unwrap();
    database::Group::start(Spec::new(group)).unwrap()
}

async fn connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    broker(address, "-c lentilspoke.session=broker-17").await
}

/// Writes a row with this id, and retries until it is accepted. Proxies wait as well: with a
/// connection until they can serve, with a statement until the group has a leader. A write is retried
/// after "not run" and after its proxy was lost: the id is a key, so a duplicate shows that an earlier
/// attempt succeeded.
async fn write(address: SocketAddr, id: &str) {
    loop {
        let sql = format!("INSERT INTO ledger VALUES ('{id}', 'x')");
        let result = match connect(address).await {
            Ok(client) => client.batch_execute(&sql).await,
            Err(error) => Err(error),
        };
        match result.as_ref().map_err(|error| error.code()) {
            Ok(()) => return,
            Err(Some(code)) if code.code().starts_with("LS1") || code.code() == "LS204" => {}
            Err(Some(code)) if code.code() == "23505" => return,
            Err(other) => panic!("{other:?}: {result:?}"),
        }
    }
}

/// The term of the group's primary.
fn term(databases: &database::Handle) -> Term {
    let state = databases.primary().and_then(|id| databases.state(&id));
    state.map_or(Term::default(), |state| state.term)
}

/// Whether this proxy reports that it leads the group.
fn leads(proxy: &Proxy) -> bool {
    let dump = lentilspoke(&["dump", &proxy.admin.to_string()]);
    let json = dump.strip_prefix("exit 0").unwrap();
    let state: serde_json::Value = serde_json::from_str(json).unwrap();
    state["stewards"]["ledger1"]["phase"] == "lead"
}

async fn ids(address: SocketAddr) -> Vec<String> {
    let client = connect(address).await.unwrap();
    let rows = client.query("SELECT id FROM ledger ORDER BY id", &[]).await;
    rows.unwrap().iter().map(|row| row.get(0)).collect()
}

/// A broker writes through one proxy and reads its write through the other. The process of the proxy
/// that leads the group is killed. The other proxy takes the group over, and the broker continues
/// there and reads all its writes.
#[actix_rt::test]
async fn a_session_continues_when_a_proxy_process_is_killed() {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let databases = databases();
    let document = Document {
        groups: [("ledger1".parse().unwrap(), databases.group().clone())].into(),
        pools: serde_json::from_str(r#"{"brokers": {"groups": ["ledger1"]}}"#).unwrap(),
        timing: serde_json::from_str("{}").unwrap(),
    };
    let file = File::new(&serde_json::to_string(&document).unwrap());
    let at = platform.address().to_string();
    let printed = lentilspoke(&["apply", file.path(), "--platform", &at, "--base", "0"]);
    assert!(printed.starts_with("exit 0"), "{printed}");
    let mut proxies = vec![serve("vm1", &platform), serve("vm2", &platform)];
    write(proxies[0].callers, "lot-1").await;
    let leading = proxies.iter().position(leads).unwrap();
    let first = proxies.swap_remove(leading);
    let second = proxies.swap_remove(0);
    assert_eq!(ids(second.callers).await, ["lot-1"]);
    let shown = lentilspoke(&["show", "--proxy", &second.admin.to_string()]);
    assert!(shown.contains("\"base\": 1"), "{shown}");
    let former = term(&databases);
    drop(first);
    databases
        .wait_until(|databases| term(databases) > former)
        .await;
    write(second.callers, "lot-2").await;
    assert_eq!(ids(second.callers).await, ["lot-1", "lot-2"]);
}
