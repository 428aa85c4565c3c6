//! `lentilspoke demo`, used as a newcomer would: a real client at both of its proxies.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use tokio_postgres::{Client, NoTls};

/// A demo's process, killed when the test ends.
struct Demo {
    child: Child,
    callers: Vec<SocketAddr>,
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn demo(deployment: &str) -> Demo {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lentilspoke"))
        .args(["demo", "--listen", "127.0.0.1:0"])
        .args(["--deployment", deployment])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let output = child.stdout.take().unwrap();
    BufReader::new(output).read_line(&mut line).unwrap();
    let mut words = line.split_whitespace();
    let ready = words.next();
    let callers = words.map(|word| word.parse().unwrap()).collect();
    let demo = Demo { child, callers };
    assert_eq!(ready, Some("ready"), "{line}");
    demo
}

async fn connect(address: SocketAddr, options: &str) -> Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("broker")
        .dbname("ledger1")
        .options(options);
    let (client, connection) = config.connect(NoTls).await.unwrap();
    actix_rt::spawn(async {
        let _ = connection.await;
    });
    client
}

/// A caller writes at the first proxy and reads its write at the second, by its session's name.
/// A read that accepts an age is answered too, and what can't be pooled is refused by name.
async fn a_first_visit(deployment: &str) {
    let demo = demo(deployment);
    assert_eq!(demo.callers.len(), 2);
    let session = "-c lentilspoke.session=broker-17";
    let first = connect(demo.callers[0], session).await;
    let insert = "INSERT INTO ledger VALUES ($1, $2)";
    let rows = first.execute(insert, &[&"lot-1", &"sold"]).await.unwrap();
    assert_eq!(rows, 1);
    let second = connect(demo.callers[1], session).await;
    let select = "SELECT body FROM ledger WHERE id = $1";
    let row = second.query_one(select, &[&"lot-1"]).await.unwrap();
    assert_eq!(row.get::<_, &str>(0), "sold");
    let aged = connect(demo.callers[1], "-c lentilspoke.max_age=1h").await;
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
