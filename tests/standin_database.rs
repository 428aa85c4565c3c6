//! Tests that the stand-in database provides the guarantees that the proxy relies on.

use lentilspoke::clock::Span;
use lentilspoke::config;
use lentilspoke::net::dialect;
use lentilspoke::standin::database::{Group, Handle, Lag, Spec};
use lentilspoke::types::{DatabaseId, Offset, Position, Term};
use std::collections::BTreeMap;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

fn id(name: &str) -> DatabaseId {
    name.parse().unwrap()
}

fn spec() -> Spec {
    let database = config::Database {
        address: "127.0.0.1:0".parse().unwrap(),
        domain: "mombasa".parse().unwrap(),
        slots: 2,
        connections: 4,
        leaving: false,
    };
    let databases: BTreeMap<DatabaseId, config::Database> = ["a", "b", "c"]
        .into_iter()
        .map(|name| (id(name), database.clone()))
        .collect();
    Spec::new(config::Group { databases })
}

fn start() -> Handle {
    Group::start(spec()).unwrap()
}

async fn try_connect(
    handle: &Handle,
    database: &str,
    user: &str,
) -> Result<Client, tokio_postgres::Error> {
    let address = handle.address(&id(database)).unwrap();
    let text = format!("host={} port={} user={user}", address.ip(), address.port());
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    actix_rt::spawn(async {
        let _ = connection.await;
    });
    Ok(client)
}

async fn connect(handle: &Handle, database: &str) -> Client {
    try_connect(handle, database, dialect::WORK_USER)
        .await
        .unwrap()
}

async fn order(handle: &Handle, database: &str, text: &str) -> String {
    let client = try_connect(handle, database, dialect::CONTROL_USER)
        .await
        .unwrap();
    match client.simple_query(text).await {
        Ok(messages) => match &messages[1] {
            SimpleQueryMessage::Row(row) => row.get(0).unwrap().into(),
            other => format!("{other:?}"),
        },
        Err(error) => code(&error),
    }
}

fn code(error: &tokio_postgres::Error) -> String {
    let code = error.code().map(|code| code.code().to_owned());
    code.unwrap_or_else(|| "closed".into())
}

async fn insert(client: &Client, key: &str) -> Result<u64, tokio_postgres::Error> {
    client
        .execute(
            "INSERT INTO ledger (id, body) VALUES ($1, $2)",
            &[&key, &"x"],
        )
        .await
}

async fn count(client: &Client) -> i64 {
    let row = client.query_one("SELECT count(*) FROM ledger", &[]).await;
    row.unwrap().get(0)
}

fn at(term: u64, offset: u64) -> Position {
    Position::new(Term(term), Offset(offset))
}

#[actix_rt::test]
async fn a_real_client_reads_back_what_it_wrote() {
    let handle = start();
    let client = connect(&handle, "a").await;
    assert_eq!(insert(&client, "lot-1").await.unwrap(), 1);
    let sql = "SELECT id, length(body), body = 'x', 7 FROM ledger WHERE id = $1";
    let row = client.query_one(sql, &[&"lot-1"]).await.unwrap();
    let found: (String, i64, bool, i32) = (row.get(0), row.get(1), row.get(2), row.get(3));
    assert_eq!(found, ("lot-1".into(), 1, true, 7));
    let again = insert(&client, "lot-1").await.unwrap_err();
    assert_eq!(code(&again), "23505");
    let none = client.query("SELECT * FROM ledger WHERE id = $1::text", &[&"no"]);
    assert!(none.await.unwrap().is_empty());
    let wrong = client.simple_query("SELEC 1").await.unwrap_err();
    assert_eq!(code(&wrong), "42601");
}

/// Two concurrent transactions: the second neither reads uncommitted data of the first nor loses
/// its update.
#[actix_rt::test]
async fn transactions_neither_read_dirty_nor_lose_updates() {
    let handle = start();
    let mut first = connect(&handle, "a").await;
    let second = connect(&handle, "a").await;
    insert(&second, "n").await.unwrap();
    let transaction = first.transaction().await.unwrap();
    let read = "SELECT body FROM ledger WHERE id = 'n' FOR UPDATE";
    let body: String = transaction.query_one(read, &[]).await.unwrap().get(0);
    let append = "UPDATE ledger SET body = body || '2' WHERE id = 'n'";
    let waiting = actix_rt::spawn(async move {
        second.execute(append, &[]).await.unwrap();
        second
    });
    let set = "UPDATE ledger SET body = $1 WHERE id = 'n'";
    transaction.execute(set, &[&(body + "1")]).await.unwrap();
    let third = connect(&handle, "a").await;
    let clean: String = third
        .query_one("SELECT body FROM ledger", &[])
        .await
        .unwrap()
        .get(0);
    assert_eq!(clean, "x");
    transaction.commit().await.unwrap();
    let second = waiting.await.unwrap();
    let both: String = second
        .query_one("SELECT body FROM ledger", &[])
        .await
        .unwrap()
        .get(0);
    assert_eq!(both, "x12");
}

#[actix_rt::test]
async fn a_failed_or_dropped_transaction_leaves_nothing() {
    let handle = start();
    let client = connect(&handle, "a").await;
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, "gone").await.unwrap();
    assert!(insert(&client, "gone").await.is_err());
    let aborted = client.simple_query("SELECT 1").await.unwrap_err();
    assert_eq!(code(&aborted), "25P02");
    client.batch_execute("COMMIT").await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, "dropped").await.unwrap();
    drop(client);
    let other = connect(&handle, "a").await;
    insert(&other, "kept").await.unwrap();
    assert_eq!(count(&other).await, 1);
    let batch = "INSERT INTO ledger VALUES ('p', ''); INSERT INTO ledger VALUES ('kept', '')";
    assert!(other.batch_execute(batch).await.is_err());
    assert_eq!(count(&other).await, 1);
}

#[actix_rt::test]
async fn replicas_follow_and_refuse_writes() {
    let handle = start();
    let client = connect(&handle, "a").await;
    insert(&client, "lot-1").await.unwrap();
    let state = order(&handle, "b", "LENTIL REACH 1/1").await;
    assert_eq!(dialect::decode_state(&state).unwrap().position, at(1, 1));
    handle
        .wait_for_state(&id("b"), |state| state.applied == at(1, 1))
        .await;
    let replica = connect(&handle, "b").await;
    assert_eq!(count(&replica).await, 1);
    let refused = insert(&replica, "lot-2").await.unwrap_err();
    assert_eq!(code(&refused), dialect::READ_ONLY);
}

/// The old primary is partitioned from its replicas but not from its caller. The term is raised on the
/// other two databases, and one of them opens. The caller's next write commits on the old primary. Once
/// the partition ends, the old primary adopts the new term and truncates that write.
#[actix_rt::test]
async fn a_diverged_log_is_cut_back_to_the_new_terms_base() {
    let handle = start();
    let client = connect(&handle, "a").await;
    insert(&client, "shared").await.unwrap();
    for other in ["b", "c"] {
        let here = id(other);
        handle
            .wait_for_state(&here, |s| s.applied == at(1, 1))
            .await;
    }
    handle.isolate(&id("a"), true);
    order(&handle, "b", "LENTIL RAISE 2").await;
    order(&handle, "c", "LENTIL RAISE 2").await;
    assert_eq!(
        order(&handle, "b", "LENTIL RAISE 2").await,
        dialect::WRONG_TERM
    );
    assert_eq!(
        order(&handle, "b", "LENTIL OPEN 3").await,
        dialect::WRONG_TERM
    );
    insert(&client, "diverged").await.unwrap();
    order(&handle, "b", "LENTIL OPEN 2").await;
    let new = connect(&handle, "b").await;
    insert(&new, "new").await.unwrap();
    handle
        .wait_for_state(&id("c"), |state| state.applied == at(2, 2))
        .await;
    assert_eq!(handle.state(&id("a")).unwrap().position, at(1, 2));
    handle.isolate(&id("a"), false);
    handle
        .wait_for_state(&id("a"), |state| state.applied == at(2, 2))
        .await;
    let state = handle.state(&id("a")).unwrap();
    assert!(!state.open);
    insta::assert_snapshot!(
        dialect::encode_state(&state),
        @r#"{"term":2,"position":{"term":2,"offset":2},"applied":{"term":2,"offset":2},"open":false,"lineage":[{"term":1,"base":{"term":0,"offset":0}},{"term":2,"base":{"term":1,"offset":1}}]}"#
    );
    let rows = client.query("SELECT id FROM ledger ORDER BY id", &[]).await;
    let ids: Vec<String> = rows.unwrap().iter().map(|row| row.get(0)).collect();
    assert_eq!(ids, ["new", "shared"]);
}

/// A replica's term has been raised; it must not apply the log of the old primary, which still reaches
/// it in the old term.
#[actix_rt::test]
async fn a_raised_database_applies_no_older_log() {
    let handle = start();
    order(&handle, "b", "LENTIL RAISE 2").await;
    let client = connect(&handle, "a").await;
    insert(&client, "late").await.unwrap();
    handle
        .wait_for_state(&id("c"), |state| state.applied == at(1, 1))
        .await;
    assert_eq!(
        handle.state(&id("b")).unwrap().position,
        Position::default()
    );
}

/// A caller's transaction is open when the term is raised: its COMMIT is refused and its writes are
/// rolled back, and later statements of the old term are refused without being run.
#[actix_rt::test]
async fn a_raise_fences_open_transactions() {
    let handle = start();
    let client = connect(&handle, "a").await;
    client.simple_query("LENTIL TERM 1").await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, "fenced").await.unwrap();
    order(&handle, "a", "LENTIL RAISE 2").await;
    let commit = client.batch_execute("COMMIT").await.unwrap_err();
    assert_eq!(code(&commit), dialect::WRONG_TERM);
    client.batch_execute("ROLLBACK").await.unwrap();
    let read = client.simple_query("SELECT 1").await.unwrap_err();
    assert_eq!(code(&read), dialect::WRONG_TERM);
    order(&handle, "a", "LENTIL OPEN 2").await;
    client.simple_query("LENTIL TERM 2").await.unwrap();
    assert_eq!(count(&client).await, 0);
    insert(&client, "new term").await.unwrap();
}

#[actix_rt::test]
async fn connections_are_limited_but_orders_get_through() {
    let handle = start();
    let mut clients = Vec::new();
    for _ in 0..4 {
        clients.push(connect(&handle, "a").await);
    }
    let full = try_connect(&handle, "a", "clerk").await.unwrap_err();
    assert_eq!(code(&full), dialect::FULL);
    assert!(order(&handle, "a", "LENTIL REPORT").await.contains("term"));
}

#[actix_rt::test]
async fn a_cancel_request_ends_a_long_statement() {
    let handle = start();
    let client = connect(&handle, "a").await;
    let token = client.cancel_token();
    let cancel = async {
        while handle.running(&id("a")) == 0 {
            tokio::task::yield_now().await;
        }
        token.cancel_query(NoTls).await.unwrap();
    };
    let long = client.simple_query("SELECT pg_sleep(600)");
    let (long, ()) = futures_util::join!(long, cancel);
    assert_eq!(code(&long.unwrap_err()), "57014");
}

/// The network silently drops the open connections: a statement on an old connection gets no answer,
/// while a new connection works.
#[actix_rt::test]
async fn silent_connections_stay_silent_while_new_ones_work() {
    let handle = start();
    let old = connect(&handle, "a").await;
    handle.silence(&id("a"));
    let new = connect(&handle, "a").await;
    let mut lost = Box::pin(insert(&old, "lost"));
    assert!(futures_util::poll!(&mut lost).is_pending());
    insert(&new, "kept").await.unwrap();
    assert!(futures_util::poll!(&mut lost).is_pending());
    assert_eq!(count(&new).await, 1);
}

/// The write takes effect, and its answer is lost with the connection.
#[actix_rt::test]
async fn an_answer_is_lost_after_its_effect() {
    let handle = start();
    let client = connect(&handle, "a").await;
    handle.lose_answers(&id("a"), 1);
    let lost = insert(&client, "lot-1").await.unwrap_err();
    assert_eq!(code(&lost), "closed");
    let client = connect(&handle, "a").await;
    assert_eq!(count(&client).await, 1);
}

/// A killed database resets its connections, refuses new ones, and still has its log after a restart.
#[actix_rt::test]
async fn a_killed_database_keeps_its_log() {
    let handle = start();
    let client = connect(&handle, "a").await;
    insert(&client, "kept").await.unwrap();
    client.batch_execute("BEGIN").await.unwrap();
    insert(&client, "open").await.unwrap();
    handle.kill(&id("a"));
    assert!(client.batch_execute("COMMIT").await.is_err());
    handle.restart(&id("a"));
    let client = loop {
        if let Ok(client) = try_connect(&handle, "a", "clerk").await {
            break client;
        }
    };
    assert_eq!(count(&client).await, 1);
}

#[actix_rt::test]
async fn a_replica_applies_what_it_received_after_its_lag() {
    let handle = start();
    let lag = Lag {
        receive: Span::ZERO,
        apply: Span::from_secs(3600),
    };
    handle.set_lag(&id("b"), lag);
    let client = connect(&handle, "a").await;
    insert(&client, "lot-1").await.unwrap();
    let here = id("b");
    handle
        .wait_for_state(&here, |s| s.position == at(1, 1))
        .await;
    let replica = connect(&handle, "b").await;
    assert_eq!(count(&replica).await, 0);
    handle.set_lag(&here, Lag::default());
    handle
        .wait_for_state(&here, |s| s.applied == at(1, 1))
        .await;
    assert_eq!(count(&replica).await, 1);
}
