//! End-to-end tests: callers connect over sockets through whole proxies to stand-in databases.

use lentilspoke::standin::demo::{self, Demo, Plan};
use lentilspoke::types::GroupId;
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

async fn start() -> Demo {
    let demo = demo::start(&Plan::on_free_ports(2)).await.unwrap();
    for proxy in 0..2 {
        wait_until_serving(&demo, proxy).await;
    }
    demo
}

/// Retries a write until the proxy accepts it; until then, the proxy answers that it was not run.
async fn wait_until_serving(demo: &Demo, proxy: usize) {
    loop {
        let Ok(client) = try_connect(demo, proxy, "").await else {
            tokio::task::yield_now().await;
            continue;
        };
        let text = format!("INSERT INTO ledger VALUES ('ready-{proxy}', '')");
        match client.batch_execute(&text).await {
            Ok(()) => return,
            Err(error) if code(&error).starts_with("LS1") => {}
            Err(error) if code(&error) == "23505" => return,
            Err(_) => {}
        }
    }
}

async fn try_connect(
    demo: &Demo,
    proxy: usize,
    session: &str,
) -> Result<Client, tokio_postgres::Error> {
    let address = demo.callers()[proxy];
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port());
    config.user("broker").dbname("ledger1");
    if !session.is_empty() {
        config.options(format!("-c lentilspoke.session={session}"));
    }
    let (client, connection) = config.connect(NoTls).await?;
    actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(client)
}

async fn connect(demo: &Demo, proxy: usize, session: &str) -> Client {
    try_connect(demo, proxy, session).await.unwrap()
}

fn code(error: &tokio_postgres::Error) -> String {
    let code = error.code().map(|code| code.code().to_owned());
    code.unwrap_or_else(|| error.to_string())
}

async fn count(client: &Client, id: &str) -> usize {
    let text = format!("SELECT body FROM ledger WHERE id LIKE '{id}'");
    let messages = client.simple_query(&text).await.unwrap();
    let rows = messages
        .iter()
        .filter(|message| matches!(message, SimpleQueryMessage::Row(_)));
    rows.count()
}

/// Six callers use the same prepared statements concurrently, and each transaction runs on any free
/// connection. Each caller gets its own rows.
#[actix_rt::test]
async fn prepared_statements_meet_any_connection() {
    let demo = start().await;
    let one = |number: usize| {
        let demo = &demo;
        async move {
            let client = connect(demo, number % 2, "").await;
            let insert = "INSERT INTO ledger (id, body) VALUES ($1, $2)";
            let insert = client.prepare(insert).await.unwrap();
            let select = "SELECT body FROM ledger WHERE id = $1";
            let select = client.prepare(select).await.unwrap();
            for round in 0..10 {
                let id = format!("p-{number}-{round}");
                let body = format!("of {number}");
                let written = client.execute(&insert, &[&id, &body]).await.unwrap();
                assert_eq!(written, 1);
                let row = client.query_one(&select, &[&id]).await.unwrap();
                assert_eq!(row.get::<_, String>(0), body);
            }
        }
    };
    futures_util::future::join_all((0..6).map(one)).await;
    demo.stop();
}

/// A session writes at one proxy and immediately reads at the other while replicas lag. It sees each of
/// its writes.
#[actix_rt::test]
async fn a_session_reads_its_writes_on_the_other_proxy() {
    let demo = start().await;
    let clients = [
        connect(&demo, 0, "broker-17").await,
        connect(&demo, 1, "broker-17").await,
    ];
    for round in 0..20 {
        let text = format!("INSERT INTO ledger VALUES ('s-{round}', '')");
        clients[round % 2].batch_execute(&text).await.unwrap();
        let seen = count(&clients[(round + 1) % 2], "s-%").await;
        assert_eq!(seen, round + 1);
    }
    demo.stop();
}

/// A caller disconnects in the middle of its transaction. The transaction's writes are rolled back, and
/// no other caller's work becomes part of it.
#[actix_rt::test]
async fn a_transaction_ends_with_its_caller() {
    let demo = start().await;
    let disconnecting = connect(&demo, 0, "").await;
    disconnecting.batch_execute("BEGIN").await.unwrap();
    let text = "INSERT INTO ledger VALUES ('gone', '')";
    disconnecting.batch_execute(text).await.unwrap();
    drop(disconnecting);
    let other = connect(&demo, 0, "").await;
    // The other caller waits for the lock that the transaction held until it is rolled back.
    other.batch_execute(text).await.unwrap();
    assert_eq!(count(&other, "gone").await, 1);
    demo.stop();
}

/// The answer to a write is lost after the write has taken effect. The caller retries with the same
/// request key until it receives a result, and the write has taken effect once.
#[actix_rt::test]
async fn a_booking_under_a_key_is_made_once() {
    let demo = start().await;
    let group: GroupId = "ledger1".parse().unwrap();
    let handle = &demo.groups()[&group];
    let client = connect(&demo, 0, "broker-9").await;
    for round in 0..5 {
        let set = format!("SET lentilspoke.request = 'lot-{round}'");
        client.batch_execute(&set).await.unwrap();
        handle.lose_answers(&handle.primary().unwrap(), 1);
        let text = format!("INSERT INTO ledger VALUES ('k-{round}', '')");
        while let Err(error) = client.batch_execute(&text).await {
            assert!(code(&error).starts_with("LS"), "{error:?}");
        }
        assert_eq!(count(&client, &format!("k-{round}")).await, 1);
    }
    demo.stop();
}

/// Statements of the extended protocol fail inside a pipeline and inside a transaction: only
/// their own batch fails, and the transaction is aborted until it is rolled back.
#[actix_rt::test]
async fn errors_do_not_leak() {
    let demo = start().await;
    let mut client = connect(&demo, 1, "").await;
    let (bad, good) = futures_util::join!(
        client.query("SELECT nothing FROM nowhere", &[]),
        client.query("SELECT 1", &[])
    );
    assert!(bad.is_err());
    assert_eq!(good.unwrap().len(), 1);
    let transaction = client.transaction().await.unwrap();
    let text = "INSERT INTO ledger VALUES ('half', '')";
    transaction.batch_execute(text).await.unwrap();
    assert!(transaction.query("SELECT nothing", &[]).await.is_err());
    let aborted = transaction.query("SELECT 1", &[]).await.unwrap_err();
    assert_eq!(code(&aborted), "25P02");
    transaction.rollback().await.unwrap();
    assert_eq!(count(&client, "half").await, 0);
    demo.stop();
}

/// A proxy is asked to stop while a caller is in the middle of a transaction. The caller finishes it
/// there, is then asked to reconnect, and sees its write on the other proxy.
#[actix_rt::test]
async fn a_planned_stop_lets_a_transaction_end() {
    let mut demo = start().await;
    let client = connect(&demo, 0, "clerk-3").await;
    let idle = connect(&demo, 0, "").await;
    client.batch_execute("BEGIN").await.unwrap();
    demo.stop_proxy(0);
    while !idle.is_closed() {
        tokio::task::yield_now().await;
    }
    let text = "INSERT INTO ledger VALUES ('last', '')";
    client.batch_execute(text).await.unwrap();
    client.batch_execute("COMMIT").await.unwrap();
    while let Err(error) = client.batch_execute("SELECT 1").await {
        if error.is_closed() || code(&error) == "57P01" {
            break;
        }
        assert_eq!(code(&error), "LS105");
    }
    // Index 0 is now the remaining proxy: the demo counts only running proxies.
    let other = connect(&demo, 0, "clerk-3").await;
    while let Err(error) = other.batch_execute("SELECT 1").await {
        assert!(code(&error).starts_with("LS1"), "{error:?}");
    }
    assert_eq!(count(&other, "last").await, 1);
    demo.stop();
}

/// A primary is killed while a caller writes. Each write gets an answer, "not run" or "unknown outcome".
/// The caller retries with the same request key until it gets an answer, and each write is there once.
#[actix_rt::test]
async fn bookings_go_on_after_a_primary_is_killed() {
    let demo = start().await;
    let group: GroupId = "ledger1".parse().unwrap();
    let handle = &demo.groups()[&group];
    let client = connect(&demo, 1, "broker-4").await;
    for round in 0..20 {
        if round == 5 {
            handle.kill(&handle.primary().unwrap());
        }
        let set = format!("SET lentilspoke.request = 'f-{round}'");
        client.batch_execute(&set).await.unwrap();
        let text = format!("INSERT INTO ledger VALUES ('f-{round}', '')");
        while let Err(error) = client.batch_execute(&text).await {
            assert!(code(&error).starts_with("LS"), "{error:?}");
        }
    }
    assert_eq!(count(&client, "f-%").await, 20);
    demo.stop();
}
