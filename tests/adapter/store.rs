//! The store's client, against a scripted stand-in.

use crate::platform;
use crate::script::{Script, Step, clock};
use bytes::Bytes;
use lentilspoke::clock::Span;
use lentilspoke::direct::adapter::{CallStore, Environment};
use lentilspoke::direct::table::{Change, Command, Era, Fault, Response, RowId, Version};
use std::rc::Rc;
use std::time::Duration;

const WITHIN: Span = Span::from_secs(2);
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

/// A VM that starts reads a few rows of a long table: one page, from its own row on.
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
        store(range, WITHIN).await.unwrap();
    }
    insta::assert_snapshot!(script.seen.borrow().join("\n\n"), @r#"
    GET /api/rows-get?table=my%20table&part=&limit=64 HTTP/1.1

    GET /api/rows-get?table=my%20table&part=&from=vm.a%401&limit=64 HTTP/1.1
    "#);
}

async fn play(ask: fn() -> Command, step: Step) -> Result<Response, Fault> {
    let script = Script::new([step]);
    store(&script)(ask(), WITHIN).await
}

fn is_refused(told: &Result<Response, Fault>) -> bool {
    matches!(told, Err(Fault::Refused(_)))
}

fn is_unknown(told: &Result<Response, Fault>) -> bool {
    matches!(told, Err(Fault::Unknown(_)))
}

#[actix_rt::test]
async fn calls_are_spelled_as_the_platform_does() {
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
    store(read(), WITHIN).await.unwrap();
    store(follow, WITHIN).await.unwrap();
    assert_eq!(
        store(change(), WITHIN).await,
        Ok(Response::Written(version(531)))
    );
    assert_eq!(
        script.opened.get(),
        1,
        "one connection serves calls in turn"
    );
    insta::assert_snapshot!(script.seen.borrow().join("\n\n"), @r#"
    GET /api/rows-get?table=my%20table&part= HTTP/1.1

    GET /api/rows-feed?table=op&after=530&wait_ms=30000 HTTP/1.1

    POST /api/rows-tx HTTP/1.1
    content-type: application/json
    {"expect":[{"table":"duty","part":"","key":"steward","row_version":412}],"writes":[{"table":"duty","part":"","key":"steward","value":"bm9kZS0x"}],"remove":[{"table":"vms","part":"","key":"a"}]}
    "#);
}

/// A table has more rows than an answer. Each page begins with the last row of the one before;
/// rows of other parts are not ours; a row changes between two pages. Whoever follows from the
/// version told must hear of that change, so it is the first page's.
#[actix_rt::test]
async fn pages_are_put_together() {
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
    let Ok(Response::Rows { rows, version }) = store(&script)(read(), WITHIN).await else {
        panic!("rows were told");
    };
    assert_eq!(version, self::version(5));
    let keys: Vec<&str> = rows.iter().map(|row| &*row.id.key).collect();
    assert_eq!(keys, ["a", "b c", "d"]);
    assert_eq!(rows[2].value.as_deref(), Some(&b"4"[..]));
    assert!(script.seen.borrow()[1].contains("from=b%20c"));
}

/// A store that says there is more and sends nothing new would be asked for ever.
#[actix_rt::test]
async fn pages_that_lead_nowhere_end() {
    let page = r#"{"rows":[],"has_more":true,"row_version":5}"#;
    assert!(play(read, Step::Answer(200, page)).await.is_ok());
}

#[actix_rt::test]
async fn removed_rows_and_lost_history_are_told() {
    let follow = || Command::Follow {
        table: "op".into(),
        after: version(1),
        wait: Span::from_secs(1),
    };
    let gone = r#"{"rows":[{"table":"t","part":"","key":"a","tombstone":true,"row_version":7}],"row_version":7}"#;
    let Ok(Response::Rows { rows, .. }) = play(follow, Step::Answer(200, gone)).await else {
        panic!("rows were told");
    };
    assert_eq!((rows[0].value.clone(), rows[0].version), (None, version(7)));
    assert_eq!(
        play(follow, Step::Answer(410, "")).await,
        Ok(Response::Forgotten)
    );
}

/// A change meets another one. It is not done, and the rows under condition are told; also when
/// the answer's body makes no sense it is known that nothing was done.
#[actix_rt::test]
async fn a_conflict_is_told() {
    let rows = r#"{"rows":[{"table":"duty","part":"","key":"steward","value":"eA==","row_version":413}],"row_version":500}"#;
    let Ok(Response::Conflict(rows)) = play(change, Step::Answer(412, rows)).await else {
        panic!("a conflict was told");
    };
    assert_eq!(rows[0].version, version(413));
    assert!(is_refused(&play(change, Step::Answer(412, "what?")).await));
}

/// The caller of the store must know whether a change may have been done. It was not, if the store
/// said so or no connection came about; it may have been, once it was sent and no whole answer
/// came back.
#[actix_rt::test]
async fn only_what_was_not_done_counts_as_refused() {
    tokio::time::pause();
    for status in [503, 429, 400, 403, 413] {
        assert!(
            is_refused(&play(change, Step::Answer(status, "")).await),
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
        let told = play(change, step.clone()).await;
        assert!(is_unknown(&told), "{step:?}: {told:?}");
    }
    let script = Script::new([]);
    script.down.set(true);
    assert!(is_refused(&store(&script)(change(), WITHIN).await));
}

/// Guards against a long answer that is given up while it comes, and asked for again over the same link.
#[actix_rt::test]
async fn an_answer_that_comes_slowly_is_taken() {
    tokio::time::pause();
    let slow = Step::Slow(EMPTY, Duration::from_millis(700));
    let told = play(read, slow).await;
    assert!(matches!(told, Ok(Response::Rows { .. })), "{told:?}");
}

/// Guards against a call that waits on for an answer of which nothing comes any more, or that never ends.
#[actix_rt::test]
async fn an_answer_that_stalls_is_lost() {
    tokio::time::pause();
    for pause in [3, 100] {
        let stalled = Step::Slow(EMPTY, Duration::from_secs(pause));
        let began = tokio::time::Instant::now();
        assert!(is_unknown(&play(read, stalled).await));
        assert!(began.elapsed() <= Duration::from_secs(3));
    }
}

/// The store's answer to one call is lost and the connection stays open. A later call on it would
/// wait in vain, so it goes over a new one.
#[actix_rt::test]
async fn a_lost_answer_ends_its_connection() {
    tokio::time::pause();
    let script = Script::new([
        Step::Answer(200, EMPTY),
        Step::Silent,
        Step::Answer(200, EMPTY),
    ]);
    let store = store(&script);
    assert!(store(read(), WITHIN).await.is_ok());
    assert!(is_unknown(&store(read(), WITHIN).await));
    assert!(store(read(), WITHIN).await.is_ok());
    assert_eq!(script.opened.get(), 2);
}

/// The store closes a connection that lies idle. The next call notices before it sends anything,
/// and goes over a new one.
#[actix_rt::test]
async fn a_connection_closed_while_idle_costs_nothing() {
    let script = Script::new([Step::Last(200, EMPTY), Step::Answer(200, EMPTY)]);
    let store = store(&script);
    assert!(store(read(), WITHIN).await.is_ok());
    tokio::task::yield_now().await;
    assert!(store(read(), WITHIN).await.is_ok());
    assert_eq!(script.opened.get(), 2);
}

/// One call waits for news while others are made: they must not wait for it.
#[actix_rt::test]
async fn a_call_that_waits_holds_up_no_other() {
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
    assert!(store(read(), WITHIN).await.is_ok());
    assert!(is_unknown(&waiting.await.unwrap()));
}
