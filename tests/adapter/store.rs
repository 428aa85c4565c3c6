//! The store's client, against a scripted server.

use crate::platform;
use crate::script::{Script, Step, clock};
use bytes::Bytes;
use lentilspoke::clock::Span;
use lentilspoke::direct::adapter::{CallStore, Environment};
use lentilspoke::direct::table::{Change, Command, Era, Fault, Response, RowId, Version};
use std::rc::Rc;
use std::time::Duration;

const TIMEOUT: Span = Span::from_secs(2);
const EMPTY: &str = r#"{"rows":[],"has_more":false,"row_version":530,"now_ms":1}"#;

fn store(script: &Rc<Script>) -> CallStore {
    let address = "10.0.9.1:1".parse().unwrap();
    platform::adapter(Environment {
        store: address,
        orders: address,
        connect: script.connect(),
        connect_with_reset: script.connect(),
        clock: clock().0,
    })
    .store
}

fn version(number: u64) -> Version {
    Version::new(Era(0), number)
}

fn change() -> Command {
    Command::Write(Change {
        expect: vec![(RowId::new("duty", "steward"), version(412))],
        writes: vec![(RowId::new("duty", "steward"), Bytes::from_static(b"node-1"))],
        remove: vec![RowId::new("vms", "a")],
    })
}

fn read() -> Command {
    Command::Read("my table".into())
}

/// A VM that starts reads a few rows of a long table, from its own row on, in one page.
#[actix_rt::test]
async fn a_range_is_one_page() {
    let page = r#"{"rows":[],"has_more":true,"row_version":530,"now_ms":1}"#;
    let script = Script::new([Step::Answer(200, page), Step::Answer(200, page)]);
    let store = store(&script);
    for from in ["", "vm.a@1"] {
        let range = Command::Range {
            table: "my table".into(),
            from: from.into(),
            limit: 64,
        };
        store(range, TIMEOUT).await.unwrap();
    }
    insta::assert_snapshot!(script.seen.borrow().join("\n\n"), @r#"
    GET /api/rows-get?table=my%20table&part=&limit=64 HTTP/1.1

    GET /api/rows-get?table=my%20table&part=&from=vm.a%401&limit=64 HTTP/1.1
    "#);
}

async fn call(command: fn() -> Command, step: Step) -> Result<Response, Fault> {
    let script = Script::new([step]);
    store(&script)(command(), TIMEOUT).await
}

fn is_refused(result: &Result<Response, Fault>) -> bool {
    matches!(result, Err(Fault::Refused(_)))
}

fn is_unknown(result: &Result<Response, Fault>) -> bool {
    matches!(result, Err(Fault::Unknown(_)))
}

#[actix_rt::test]
async fn calls_have_the_format_of_the_platform() {
    let script = Script::new([
        Step::Answer(200, EMPTY),
        Step::Answer(200, EMPTY),
        Step::Answer(200, r#"{"row_version":531,"now_ms":1}"#),
    ]);
    let store = store(&script);
    let follow = Command::Follow {
        table: "op".into(),
        after: version(530),
        wait: Span::from_secs(60),
    };
    store(read(), TIMEOUT).await.unwrap();
    store(follow, TIMEOUT).await.unwrap();
    assert_eq!(
        store(change(), TIMEOUT).await,
        Ok(Response::Written(version(531)))
    );
    assert_eq!(
        script.opened.get(),
        1,
        "calls in sequence share a connection"
    );
    insta::assert_snapshot!(script.seen.borrow().join("\n\n"), @r#"
    GET /api/rows-get?table=my%20table&part= HTTP/1.1

    GET /api/rows-feed?table=op&after=530&wait_ms=30000 HTTP/1.1

    POST /api/rows-tx HTTP/1.1
    content-type: application/json
    {"expect":[{"table":"duty","part":"","key":"steward","row_version":412}],"writes":[{"table":"duty","part":"","key":"steward","value":"bm9kZS0x"}],"remove":[{"table":"vms","part":"","key":"a"}]}
    "#);
}

/// A table has more rows than one page. Each page begins with the last row of the one before, rows of
/// other parts are skipped, and a row changes between two pages. The result has the version of the
/// first page, so that following the table from there includes that change.
#[actix_rt::test]
async fn pages_are_joined() {
    let script = Script::new([
        Step::Answer(
            200,
            r#"{"rows":[{"table":"t","part":"","key":"a","value":"MQ==","row_version":1},
            {"table":"t","part":"","key":"b c","value":"Mg==","row_version":2}],"has_more":true,"row_version":5}"#,
        ),
        Step::Answer(
            200,
            r#"{"rows":[{"table":"t","part":"","key":"b c","value":"Mg==","row_version":2},
            {"table":"t","part":"p","key":"c","value":"Mw==","row_version":3},
            {"table":"t","part":"","key":"d","value":"NA==","row_version":6}],"has_more":false,"row_version":6}"#,
        ),
    ]);
    let Ok(Response::Rows { rows, version }) = store(&script)(read(), TIMEOUT).await else {
        panic!("expected rows");
    };
    assert_eq!(version, self::version(5));
    let keys: Vec<&str> = rows.iter().map(|row| &*row.id.key).collect();
    assert_eq!(keys, ["a", "b c", "d"]);
    assert_eq!(rows[2].value.as_deref(), Some(&b"4"[..]));
    assert!(script.seen.borrow()[1].contains("from=b%20c"));
}

/// A store that reports more rows but sends none must not be read in an endless loop.
#[actix_rt::test]
async fn a_page_without_new_rows_ends_the_read() {
    let page = r#"{"rows":[],"has_more":true,"row_version":5}"#;
    assert!(call(read, Step::Answer(200, page)).await.is_ok());
}

#[actix_rt::test]
async fn removed_rows_and_lost_history_are_reported() {
    let follow = || Command::Follow {
        table: "op".into(),
        after: version(1),
        wait: Span::from_secs(1),
    };
    let gone = r#"{"rows":[{"table":"t","part":"","key":"a","tombstone":true,"row_version":7}],"row_version":7}"#;
    let Ok(Response::Rows { rows, .. }) = call(follow, Step::Answer(200, gone)).await else {
        panic!("expected rows");
    };
    assert_eq!((rows[0].value.clone(), rows[0].version), (None, version(7)));
    assert_eq!(
        call(follow, Step::Answer(410, "")).await,
        Ok(Response::Forgotten)
    );
}

/// A change conflicts with another one. It is not made, and the result has the rows of its conditions.
/// If the body of the answer is malformed, it is still known that nothing was changed.
#[actix_rt::test]
async fn a_conflict_returns_the_current_rows() {
    let rows = r#"{"rows":[{"table":"duty","part":"","key":"steward","value":"eA==","row_version":413}],"row_version":500}"#;
    let Ok(Response::Conflict(rows)) = call(change, Step::Answer(412, rows)).await else {
        panic!("expected a conflict");
    };
    assert_eq!(rows[0].version, version(413));
    assert!(is_refused(&call(change, Step::Answer(412, "what?")).await));
}

/// A result must show whether a change may have been made. It was not made if the store answered so or
/// no connection was opened; it may have been made if it was sent and no complete answer came back.
#[actix_rt::test]
async fn only_a_change_that_was_not_made_is_refused() {
    tokio::time::pause();
    for status in [503, 429, 400, 403, 413] {
        assert!(
            is_refused(&call(change, Step::Answer(status, "")).await),
            "{status}"
        );
    }
    let unknown = [
        Step::Answer(500, ""),
        Step::Answer(200, "nonsense"),
        Step::Cut,
        Step::Close,
        Step::Silent,
    ];
    for step in unknown {
        let result = call(change, step.clone()).await;
        assert!(is_unknown(&result), "{step:?}: {result:?}");
    }
    let script = Script::new([]);
    script.down.set(true);
    assert!(is_refused(&store(&script)(change(), TIMEOUT).await));
}

/// Guards against aborting a long answer while it arrives, and repeating the call on the same link.
#[actix_rt::test]
async fn a_slow_answer_is_accepted() {
    tokio::time::pause();
    let slow = Step::Slow(EMPTY, Duration::from_millis(700));
    let result = call(read, slow).await;
    assert!(matches!(result, Ok(Response::Rows { .. })), "{result:?}");
}

/// Guards against waiting on for an answer that has stopped arriving, or that never ends.
#[actix_rt::test]
async fn a_stalled_answer_is_lost() {
    tokio::time::pause();
    for pause in [3, 100] {
        let stalled = Step::Slow(EMPTY, Duration::from_secs(pause));
        let start = tokio::time::Instant::now();
        assert!(is_unknown(&call(read, stalled).await));
        assert!(start.elapsed() <= Duration::from_secs(3));
    }
}

/// The store's answer to one call is lost and the connection stays open. A later call on it would also
/// get no answer, so it uses a new one.
#[actix_rt::test]
async fn a_lost_answer_closes_its_connection() {
    tokio::time::pause();
    let script = Script::new([
        Step::Answer(200, EMPTY),
        Step::Silent,
        Step::Answer(200, EMPTY),
    ]);
    let store = store(&script);
    assert!(store(read(), TIMEOUT).await.is_ok());
    assert!(is_unknown(&store(read(), TIMEOUT).await));
    assert!(store(read(), TIMEOUT).await.is_ok());
    assert_eq!(script.opened.get(), 2);
}

/// The store closes an idle connection. The next call detects this before it sends anything, and uses
/// a new one.
#[actix_rt::test]
async fn a_connection_closed_while_idle_is_replaced() {
    let script = Script::new([Step::Last(200, EMPTY), Step::Answer(200, EMPTY)]);
    let store = store(&script);
    assert!(store(read(), TIMEOUT).await.is_ok());
    tokio::task::yield_now().await;
    assert!(store(read(), TIMEOUT).await.is_ok());
    assert_eq!(script.opened.get(), 2);
}

/// One call waits for changes while others are made; it must not block them.
#[actix_rt::test]
async fn a_waiting_call_does_not_block_others() {
    tokio::time::pause();
    let script = Script::new([Step::Silent, Step::Answer(200, EMPTY)]);
    let store = store(&script);
    let follow = Command::Follow {
        table: "op".into(),
        after: version(1),
        wait: Span::from_secs(20),
    };
    let waiting = actix_rt::spawn(store(follow, Span::from_secs(21)));
    while script.seen.borrow().is_empty() {
        tokio::task::yield_now().await;
    }
    assert!(store(read(), TIMEOUT).await.is_ok());
    assert!(is_unknown(&waiting.await.unwrap()));
}
