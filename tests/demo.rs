//! `lentilspoke demo`, used as a newcomer would: a real client at both of its proxies.

mod command;

use command::{Process, broker};
use std::net::SocketAddr;

/// A demo's process, and where its callers connect.
struct Demo {
    callers: Vec<SocketAddr>,
    _process: Process,
}

fn demo(deployment: &str) -> Demo {
    let listen = ["demo", "--listen", "127.0.0.1:0"];
    let words = [&listen[..], &["--deployment", deployment]].concat();
    let process = Process::start(&words);
    let mut words = process.line.split_whitespace();
    assert_eq!(words.next(), Some("ready"), "{}", process.line);
    Demo {
        callers: words.map(|word| word.parse().unwrap()).collect(),
        _process: process,
    }
}

/// A caller writes at the first proxy and reads its write at the second, by its session's name.
/// A read that accepts an age is answered too, and what can't be pooled is refused by name.
async fn a_first_visit(deployment: &str) {
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
    a_first_visit("association").await;
}

#[actix_rt::test]
async fn permits_are_visited() {
    a_first_visit("permits").await;
}
