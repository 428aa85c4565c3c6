//! Tests `lentilspoke demo` as a first-time user runs it, with a real client at both proxies.

mod command;

use command::{Process, broker};
use std::net::SocketAddr;

/// A demo's process and the addresses that its callers connect to.
struct Demo {
    callers: Vec<SocketAddr>,
    _process: Process,
}

fn demo(deployment: &str) -> Demo {
    let listen = ["demo", "--listen", "127.0.0.1:0"];
    let args = [&listen[..], &["--deployment", deployment]].concat();
    let process = Process::start(&args);
    let mut words = process.line.split_whitespace();
    assert_eq!(words.next(), Some("ready"), "{}", process.line);
    Demo {
        callers: words.map(|word| word.parse().unwrap()).collect(),
        _process: process,
    }
}

/// A caller writes at the first proxy and, with the same session name, reads its write at the second.
/// A read with a maximum age is answered too, and a statement that can't be pooled is refused with
/// SQLSTATE 0A000.
async fn write_and_read_at_both_proxies(deployment: &str) {
    let demo = demo(deployment);
    assert_eq!(demo.callers.len(), 2);
    let session = "-c lentilspoke.session=broker-17";
    let first = broker(demo.callers[0], session).await.unwrap();
    let insert = "INSERT INTO ledger VALUES ($1, $2)";
    let rows = first.execute(insert, &[&"lot-1", &"sold"]).await.unwrap();
    assert_eq!(rows, 1);
    let second = broker(demo.callers[1], session).await.unwrap();
    let select = "SELECT body FROM ledger WHERE id = $1";
    let row = second.query_one(select, &[&"lot-1"]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0), "sold");
    let aged = broker(demo.callers[1], "-c lentilspoke.max_age=1h")
        .await
        .unwrap();
    aged.query(select, &[&"lot-1"]).await.unwrap();
    let refused = aged.batch_execute("LISTEN lots").await.unwrap_err();
    assert_eq!(refused.code().unwrap().code(), "0A000");
}

#[actix_rt::test]
async fn association_is_visited() {
    write_and_read_at_both_proxies("association").await;
}

#[actix_rt::test]
async fn permits_are_visited() {
    write_and_read_at_both_proxies("permits").await;
}
