//! Callers' connections over loopback, with a simplified core behind them.

mod fake;

use bytes::Bytes;
use fake::core::{World, listen, not_run};
use lentilspoke::clock::Span;
use lentilspoke::core::request::{Cause, Kind, Outcome, Unknown};
use lentilspoke::net::pg::{Rules, Signal};
use lentilspoke::types::{Link, Offset, Position, Term};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

async fn connect(address: SocketAddr, options: &str) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(address.port());
    config.user("broker").dbname("ledger1").options(options);
    let (client, connection) = config.connect(NoTls).await?;
    actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(client)
}

async fn start() -> (Rc<World>, Client) {
    let (world, address) = listen(Rules::default()).await;
    let client = connect(address, "").await.unwrap();
    (world, client)
}

fn code(error: &tokio_postgres::Error) -> &str {
    error.code().map_or("none", |code| code.code())
}

async fn first(client: &Client, text: &str) -> String {
    let messages = client.simple_query(text).await.unwrap();
    let row = messages.into_iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    row.unwrap_or_default()
}

#[actix_rt::test]
async fn simple_and_extended_queries_are_answered() {
    let (world, client) = start().await;
    assert_eq!(first(&client, "SELECT 1").await, "SELECT 1");
    let rows = client.query("SELECT 2", &[]).await.unwrap();
    assert_eq!(rows[0].get::<_, &str>(0), "SELECT 2");
    assert_eq!(client.execute("INSERT x", &[]).await.unwrap(), 1);
    assert_eq!(
        world.kinds(),
        [Kind::Read, Kind::Read, Kind::Read, Kind::Read, Kind::Write]
    );
}

/// Each use of a prepared statement runs on a connection where it is not prepared. The proxy must
/// prepare it there first, and drop the extra answers.
#[actix_rt::test]
async fn prepared_statements_follow_the_caller() {
    let (world, client) = start().await;
    let statement = client.prepare("SELECT 'kept'").await.unwrap();
    for _ in 0..3 {
        let row = client.query_one(&statement, &[]).await.unwrap();
        assert_eq!(row.get::<_, &str>(0), "SELECT 'kept'");
    }
    drop(statement);
    assert_eq!(first(&client, "SELECT 1").await, "SELECT 1");
    let bodies: Vec<Bytes> = world
        .requests
        .borrow()
        .iter()
        .map(|r| r.body.clone())
        .collect();
    assert_eq!(bodies[1], bodies[2]);
}

#[actix_rt::test]
async fn transactions_continue_on_their_link() {
    let (world, mut client) = start().await;
    let transaction = client.transaction().await.unwrap();
    transaction.execute("INSERT x", &[]).await.unwrap();
    transaction.query("SELECT 1", &[]).await.unwrap();
    transaction.commit().await.unwrap();
    first(&client, "SELECT 1").await;
    let kinds = world.kinds();
    assert_eq!(
        (kinds[0], kinds[kinds.len() - 1]),
        (Kind::Begin, Kind::Read)
    );
    assert!(
        kinds[1..kinds.len() - 1]
            .iter()
            .all(|kind| *kind == Kind::Continue)
    );
}

#[actix_rt::test]
async fn settings_are_the_proxys_own() {
    let (world, address) = listen(Rules::default()).await;
    let client = connect(address, "-c lentilspoke.session=broker-17")
        .await
        .unwrap();
    client
        .execute("SET lentilspoke.max_age = '5s'", &[])
        .await
        .unwrap();
    client
        .batch_execute("SET lentilspoke.request TO 'lot-9'")
        .await
        .unwrap();
    assert_eq!(
        first(&client, "SHOW lentilspoke.session").await,
        "broker-17"
    );
    let rows = client.query("SHOW lentilspoke.max_age", &[]).await.unwrap();
    assert_eq!(rows[0].get::<_, &str>(0), "5s");
    assert!(world.requests.borrow().is_empty());
    first(&client, "SELECT 1").await;
    client.batch_execute("INSERT x").await.unwrap();
    let requests = world.requests.borrow();
    assert_eq!(requests[0].max_age, Some(Span::from_secs(5)));
    assert_eq!(requests[0].key, None);
    assert_eq!(requests[1].key.as_ref().unwrap().as_str(), "lot-9");
    assert_eq!(requests[1].session.as_ref().unwrap().as_str(), "broker-17");
}

/// Work that a request key can't cover is refused. If it ran without the key, or if its COMMIT
/// ended the key's transaction early, a retry would run it twice.
#[actix_rt::test]
async fn a_key_covers_no_transaction() {
    let (world, client) = start().await;
    let set = "SET lentilspoke.request = 'lot-9'";
    client.batch_execute(set).await.unwrap();
    for text in [
        "BEGIN",
        "BEGIN; INSERT x; COMMIT",
        "INSERT x; COMMIT; INSERT y",
    ] {
        let error = client.simple_query(text).await.unwrap_err();
        assert_eq!(code(&error), "0A000", "{text}");
    }
    assert!(world.requests.borrow().is_empty());
    client
        .batch_execute("RESET lentilspoke.request")
        .await
        .unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    let error = client.execute(set, &[]).await.unwrap_err();
    assert_eq!(code(&error), "0A000");
    client.batch_execute("ROLLBACK").await.unwrap();
    client.batch_execute("INSERT x").await.unwrap();
    assert_eq!(world.requests.borrow().last().unwrap().key, None);
}

/// Statements whose effect a pooled connection can't keep, and invalid values of settings, are
/// refused with a cause and a remedy. The connection stays open.
#[actix_rt::test]
async fn what_cannot_be_pooled_is_refused() {
    let (world, client) = start().await;
    let mut answers = Vec::new();
    for text in [
        "LISTEN lots",
        "SET search_path = a",
        "COPY ledger FROM STDIN",
        "LENTIL RAISE 9",
        "SET lentilspoke.max_age = 'soon'",
        "SET lentilspoke.token = 'forged'",
        "SET lentilspoke.session = 'a'; SELECT 1",
    ] {
        let error = client.simple_query(text).await.unwrap_err();
        let extended = client.execute(text, &[]).await.unwrap_err();
        let message = error.as_db_error().unwrap().message();
        answers.push(format!(
            "{text}: {} {} {message}",
            code(&error),
            code(&extended)
        ));
    }
    insta::assert_snapshot!(answers.join("\n"), @r"
LISTEN lots: 0A000 0A000 LISTEN needs a connection of its own: connect to the database directly
SET search_path = a: 0A000 0A000 a session setting does not last on a pooled connection: use SET LOCAL in a transaction
COPY ledger FROM STDIN: 0A000 0A000 COPY is not supported: use INSERT with parameters, or connect to the database directly
LENTIL RAISE 9: 0A000 0A000 this statement is reserved to the proxy: leave it out
SET lentilspoke.max_age = 'soon': 22023 22023 lentilspoke.max_age: `soon` is not a span of time: write a number and a unit, such as 250ms or 5s
SET lentilspoke.token = 'forged': 22023 22023 lentilspoke.token: this proxy has no token key: name the session instead
SET lentilspoke.session = 'a'; SELECT 1: 0A000 0A000 the proxy's settings can't be mixed with other statements: send them by themselves
");
    assert_eq!(first(&client, "SELECT 1").await, "SELECT 1");
    assert_eq!(world.kinds(), [Kind::Read]);
}

#[actix_rt::test]
async fn outcomes_have_their_own_codes() {
    let (world, client) = start().await;
    let mut answers = Vec::new();
    for outcome in [
        Outcome::NotRun(not_run(Cause::Busy)),
        Outcome::NotRun(not_run(Cause::NoPrimary)),
        Outcome::NotRun(not_run(Cause::Lost)),
        Outcome::Unknown(Unknown::Unconfirmed),
    ] {
        world.script.borrow_mut().push(outcome);
        let error = client.simple_query("INSERT x").await.unwrap_err();
        let error = error.as_db_error().unwrap();
        let parts = [
            error.message(),
            error.detail().unwrap_or(""),
            error.hint().unwrap_or(""),
        ];
        answers.push(format!("{}: {}", error.code().code(), parts.join(" | ")));
    }
    insta::assert_snapshot!(answers.join("\n"), @r"
LS101: the database is busy: send the request again after the stated time | Nothing was run. | Retry after 250ms.
LS102: the group is changing its primary: send the request again after the stated time | Nothing was run. | Retry after 250ms.
LS301: a write of this session was lost when the primary was replaced: check what the session wrote and write it again | Nothing was run. | Retry after 250ms.
LS202: the primary may have been replaced when it answered: read back, or ask with the request key | The work may or may not have been run. |
");
}

/// A transaction's connection is lost after the caller has pipelined the rest of it. If the rest
/// ran outside the transaction, half a booking would be committed. So every statement until the
/// rollback is answered with "transaction is aborted", and none reaches a database.
#[actix_rt::test]
async fn the_rest_of_a_lost_transaction_is_not_run() {
    let (world, client) = start().await;
    client.batch_execute("BEGIN").await.unwrap();
    world
        .script
        .borrow_mut()
        .push(Outcome::NotRun(not_run(Cause::RolledBack)));
    let (first, second) = futures_util::join!(
        client.simple_query("INSERT one"),
        client.simple_query("INSERT two")
    );
    assert_eq!(code(&first.unwrap_err()), "LS108");
    assert_eq!(code(&second.unwrap_err()), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    client.batch_execute("INSERT three").await.unwrap();
    assert_eq!(world.kinds(), [Kind::Begin, Kind::Continue, Kind::Write]);
}

/// A failed statement in a pipeline of two batches fails only its own batch.
#[actix_rt::test]
async fn errors_stay_in_their_batch() {
    let (_world, client) = start().await;
    let (bad, good) = futures_util::join!(
        client.query("FAIL PARSE", &[]),
        client.query("SELECT 2", &[])
    );
    assert_eq!(code(&bad.unwrap_err()), "42601");
    assert_eq!(good.unwrap().len(), 1);
    let bad = client.query("FAIL", &[]).await.unwrap_err();
    assert_eq!(code(&bad), "22012");
}

#[actix_rt::test]
async fn a_write_returns_a_token_that_raises_the_floor() {
    let key = "sixteen bytes and more".parse().unwrap();
    let rules = Rules {
        key: Some(Rc::new(key)),
        ..Rules::default()
    };
    let (world, address) = listen(rules).await;
    let client = connect(address, "").await.unwrap();
    client.batch_execute("INSERT x").await.unwrap();
    let token = first(&client, "SHOW lentilspoke.token").await;
    let other = connect(address, &format!("-c lentilspoke.token={token}"))
        .await
        .unwrap();
    first(&other, "SELECT 1").await;
    let token_floor = world.requests.borrow()[1].token_floor;
    assert_eq!(token_floor, Some(Position::new(Term(1), Offset(7))));
    let forged = format!(
        "-c lentilspoke.token={}",
        token.replace(&token[9..12], "AAA")
    );
    let refused = connect(address, &forged).await.err().unwrap();
    assert_eq!(code(&refused), "28000");
}

#[actix_rt::test]
async fn cancel_reaches_the_link() {
    let (world, client) = start().await;
    world.silent.set(true);
    let token = client.cancel_token();
    let (answer, cancelled) = futures_util::join!(client.simple_query("SELECT 1"), async {
        while world.requests.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        token.cancel_query(NoTls).await
    });
    cancelled.unwrap();
    assert_eq!(code(&answer.unwrap_err()), "LS104");
    assert_eq!(*world.cancelled.borrow(), [Link(1)]);
}

/// At a planned stop an idle caller is disconnected at once, and a caller in a transaction only
/// after the transaction has ended.
#[actix_rt::test]
async fn dismissal_waits_for_the_transaction() {
    let (world, client) = start().await;
    client.batch_execute("BEGIN").await.unwrap();
    world.signal_all(|| Signal::Dismiss);
    client.batch_execute("INSERT x").await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
    let refused = client.batch_execute("SELECT 1").await.unwrap_err();
    assert!(refused.is_closed() || code(&refused) == "57P01");
    while world.departed.borrow().is_empty() {
        tokio::task::yield_now().await;
    }
}

async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let codes = ["08P01", "0A000", "LS106", "54000", "53300"];
    let known = codes.iter().find(|code| text.contains(**code));
    known.map_or("closed", |code| code).to_owned()
}

fn login(database: &str) -> Vec<u8> {
    let mut body = vec![0, 3, 0, 0];
    body.extend(format!("user\0broker\0database\0{database}\0\0").bytes());
    let mut message = (body.len() as u32 + 4).to_be_bytes().to_vec();
    message.extend(body);
    message
}

#[actix_rt::test]
async fn malformed_bytes_end_the_connection() {
    let (world, address) = listen(Rules::default()).await;
    let after = |bytes: &[u8]| [login("ledger1").as_slice(), bytes].concat();
    let mut answers = Vec::new();
    for (name, bytes) in [
        ("huge startup", vec![0x7f, 0, 0, 0, 0, 3, 0, 0]),
        ("tiny startup", vec![0, 0, 0, 4, 0, 0, 0, 0]),
        ("protocol 2", vec![0, 0, 0, 9, 0, 2, 0, 0, 0]),
        (
            "no end of text",
            vec![0, 0, 0, 12, 0, 3, 0, 0, b'u', b's', b'e', b'r'],
        ),
        ("no user", vec![0, 0, 0, 9, 0, 3, 0, 0, 0]),
        ("unknown database", login("nowhere")),
        ("huge message", after(&[b'Q', 0x7f, 0, 0, 0])),
        ("negative length", after(&[b'Q', 0xff, 0xff, 0xff, 0xff])),
        ("short length", after(&[b'Q', 0, 0, 0, 3])),
        ("unknown type", after(&[b'!', 0, 0, 0, 4])),
        ("query without end", after(&[b'Q', 0, 0, 0, 5, b'x'])),
        (
            "bind cut short",
            after(&[b'B', 0, 0, 0, 5, 0, b'S', 0, 0, 0, 4]),
        ),
        (
            "flood of short messages",
            after(&[b'E', 0, 0, 0, 9, 0, 0, 0, 0, 0].repeat(50_000)),
        ),
        (
            "query in a batch",
            after(&[b'P', 0, 0, 0, 8, 0, 0, 0, 0, b'Q', 0, 0, 0, 5, 0]),
        ),
    ] {
        answers.push(format!("{name}: {}", raw(address, &bytes).await));
    }
    insta::assert_snapshot!(answers.join("\n"), @r"
huge startup: 08P01
tiny startup: 08P01
protocol 2: 0A000
no end of text: 08P01
no user: 08P01
unknown database: LS106
huge message: 54000
negative length: 08P01
short length: 08P01
unknown type: 08P01
query without end: 08P01
bind cut short: 08P01
flood of short messages: 54000
query in a batch: 08P01
");
    assert!(world.requests.borrow().is_empty());
}

#[actix_rt::test]
async fn callers_are_limited() {
    let rules = Rules {
        callers: 1,
        ..Rules::default()
    };
    let (_world, address) = listen(rules).await;
    let client = connect(address, "").await.unwrap();
    let refused = connect(address, "").await.err().unwrap();
    assert_eq!(code(&refused), "53300");
    assert_eq!(first(&client, "SELECT 1").await, "SELECT 1");
}

/// A caller keeps sending and never reads while its first request runs. The proxy must stop
/// reading, so that TCP blocks the sender and the proxy's memory stays bounded.
#[actix_rt::test]
async fn a_caller_that_does_not_read_is_throttled() {
    let (world, address) = listen(Rules::default()).await;
    world.silent.set(true);
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&login("ledger1")).await.unwrap();
    stream.write_all(&fake::query("SELECT 1")).await.unwrap();
    let more = fake::query("SELECT 2").repeat(1_000);
    let mut sent = 0_usize;
    let mut stalls = 0;
    while stalls < 1_000 && sent < 256 << 20 {
        match stream.try_write(&more) {
            Ok(count) => {
                sent += count;
                stalls = 0;
            }
            Err(_) => stalls += 1,
        }
        tokio::task::yield_now().await;
    }
    assert!(sent < 256 << 20);
    assert_eq!(world.requests.borrow().len(), 1);
}
