//! Promotion orders, sent to a scripted server.

use crate::platform;
use crate::script::{Script, Step, clock};
use lentilspoke::clock::Span;
use lentilspoke::direct::adapter::{Environment, Promoted, Promotion};
use std::rc::Rc;
use std::time::Duration;

const DEADLINE: Span = Span::from_millis(1_500);
/// Timers fire on whole milliseconds, rounded up.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

struct Run {
    promoted: Promoted,
    took: Duration,
}

async fn send_order(script: &Rc<Script>, pause: Option<Duration>) -> Run {
    let (clock, offset) = clock();
    let address = "10.0.9.1:1".parse().unwrap();
    let adapter = platform::adapter(Environment {
        store: address,
        orders: address,
        connect: Rc::new(|_, _| panic!("an order uses a connection that is reset on close")),
        connect_with_reset: script.connect(),
        clock: Rc::clone(&clock),
    });
    let promotion = Promotion {
        group: "huvo11a".parse().unwrap(),
        database: "i-7f3a91c2".parse().unwrap(),
        holder: "vm-1".parse().unwrap(),
        token: 42,
        deadline: clock() + DEADLINE,
    };
    let started = tokio::time::Instant::now();
    let order = actix_rt::spawn((adapter.promote)(promotion));
    if let Some(pause) = pause {
        while script.seen.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
        offset.set(pause);
    }
    let promoted = order.await.unwrap();
    Run {
        promoted,
        took: started.elapsed(),
    }
}

#[actix_rt::test]
async fn each_answer_maps_to_its_outcome() {
    tokio::time::pause();
    let answers = [
        (Step::Answer(200, ""), Promoted::Done),
        (Step::Answer(409, ""), Promoted::NotRunning),
        (Step::Answer(429, ""), Promoted::Refused),
        (Step::Answer(503, ""), Promoted::Refused),
        (Step::Answer(500, ""), Promoted::Unknown),
        (Step::Close, Promoted::Unknown),
        (Step::Silent, Promoted::Unknown),
    ];
    for (step, expected) in answers {
        let script = Script::new([step.clone()]);
        assert_eq!(
            send_order(&script, None).await.promoted,
            expected,
            "{step:?}"
        );
    }
    let script = Script::new([]);
    script.down.set(true);
    assert_eq!(send_order(&script, None).await.promoted, Promoted::Refused);
}

#[actix_rt::test]
async fn an_order_has_the_format_of_the_platform() {
    let script = Script::new([Step::Answer(200, "")]);
    send_order(&script, None).await;
    insta::assert_snapshot!(script.seen.borrow()[0], @r#"
    POST /promote HTTP/1.1
    content-type: application/json
    duty-holder: vm-1
    fencing-token: 42
    {"service":"huvo11a","id":"i-7f3a91c2"}
    "#);
}

/// An order without an answer is aborted at its deadline, because another VM may hold the duty by
/// then. Its outcome is unknown.
#[actix_rt::test]
async fn an_order_ends_at_its_deadline() {
    tokio::time::pause();
    let run = send_order(&Script::new([Step::Silent]), None).await;
    assert_eq!(run.promoted, Promoted::Unknown);
    assert!(run.took >= Duration::from(DEADLINE));
    assert!(run.took <= Duration::from(DEADLINE) + TIMER_RESOLUTION);
}

/// The VM is paused while an order is in flight. Timers don't count the pause, but the clock does: the
/// order is aborted at once, not when a timer would have fired.
#[actix_rt::test]
async fn a_pause_counts_against_the_deadline() {
    tokio::time::pause();
    let pause = Some(Duration::from_secs(4));
    let run = send_order(&Script::new([Step::Silent]), pause).await;
    assert_eq!(run.promoted, Promoted::Unknown);
    assert!(
        run.took <= Duration::from_millis(100) + TIMER_RESOLUTION,
        "{:?}",
        run.took
    );
}
