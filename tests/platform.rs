//! Applying and reading configurations through the platform's services, with their faults.

use lentilspoke::clock::Span;
use lentilspoke::config::{Accepted, Document};
use lentilspoke::core::member::Member;
use lentilspoke::net::platform::apply::{self, Proposal, Verdict, serve};
use lentilspoke::net::platform::{Client, watch};
use lentilspoke::standin::platform::{Handle, Health, Platform};
use lentilspoke::types::{ApplyId, Version};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::time::Instant;

const DOCUMENT: &str = r#"{
    "groups": {"ledger1": {"databases": {
        "a": {"address": "10.0.1.1:5432", "domain": "mombasa", "slots": 3, "connections": 25}
    }}},
    "pools": {"brokers": {"groups": ["ledger1"]}}
}"#;

fn start() -> (Handle, Client) {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = Client::new([platform.address()]);
    (platform, client)
}

fn proposal(id: u64, base: u64, slots: u32) -> Proposal {
    let text = DOCUMENT.replace("\"slots\": 3", &format!("\"slots\": {slots}"));
    Proposal {
        id: ApplyId(id),
        base: Version(base),
        document: text.parse().unwrap(),
    }
}

async fn settle(client: &Client, proposal: &Proposal) -> Verdict {
    let timeout = Duration::from_secs(30);
    apply::settle(client, proposal, Instant::now() + timeout).await
}

async fn in_force(client: &Client) -> Accepted {
    client.config(Version(0)).await.unwrap().unwrap()
}

#[actix_rt::test]
async fn a_document_is_in_force_whole_once_accepted() {
    let (_platform, client) = start();
    assert!(client.config(Version(0)).await.unwrap().is_none());
    let first = proposal(1, 0, 3);
    let verdict = settle(&client, &first).await;
    assert_eq!(verdict, Verdict::Accepted(Version(1)));
    assert_eq!(in_force(&client).await.document, first.document);
    assert!(client.config(Version(1)).await.unwrap().is_none());
}

/// Two operators start from the same version. The second to arrive gets the version that won and its
/// changes, and nothing of its own document is in force.
#[actix_rt::test]
async fn the_loser_of_a_race_sees_what_won() {
    let (_platform, client) = start();
    settle(&client, &proposal(1, 0, 3)).await;
    settle(&client, &proposal(2, 1, 4)).await;
    let lost = settle(&client, &proposal(3, 1, 5)).await;
    insta::assert_snapshot!(serde_json::to_string(&lost).unwrap(), @r#"{"outrun":{"version":2,"changes":["groups.ledger1.databases.a.slots: 3 -> 4"]}}"#);
    assert_eq!(in_force(&client).await.version, Version(2));
}

/// A write takes effect and its answer is lost. The operator still gets "accepted", even when repeating
/// the request after other documents were accepted.
#[actix_rt::test]
async fn a_lost_answer_is_settled_by_reading_back() {
    let (platform, client) = start();
    platform.lose_answers(1);
    let first = proposal(1, 0, 3);
    assert_eq!(settle(&client, &first).await, Verdict::Accepted(Version(1)));
    settle(&client, &proposal(2, 1, 4)).await;
    assert_eq!(settle(&client, &first).await, Verdict::Accepted(Version(1)));
    assert_eq!(in_force(&client).await.version, Version(2));
}

/// The platform stops answering before the write is sent, or right after. Only the first case is
/// reported as "not applied"; in the second, the document is in force.
#[actix_rt::test]
async fn only_a_write_that_was_not_sent_is_reported_as_not_applied() {
    let (platform, client) = start();
    platform.set_health(Health::Down);
    let verdict = apply::settle(&client, &proposal(1, 0, 3), Instant::now()).await;
    assert!(matches!(verdict, Verdict::NotApplied(_)), "{verdict:?}");
    platform.set_health(Health::Well);
    platform.lose_answers(1);
    let verdict = apply::settle(&client, &proposal(2, 0, 3), Instant::now()).await;
    assert_eq!(verdict, Verdict::Unsettled);
    assert_eq!(in_force(&client).await.version, Version(1));
}

#[actix_rt::test]
async fn members_change_one_at_a_time_at_the_platform_too() {
    let (_platform, client) = start();
    settle(&client, &proposal(1, 0, 3)).await;
    let mut swap = proposal(2, 1, 3);
    let renamed = DOCUMENT.replace("\"a\"", "\"b\"").replace("1.1", "1.2");
    swap.document = renamed.parse::<Document>().unwrap();
    let refused = settle(&client, &swap).await;
    insta::assert_snapshot!(serde_json::to_string(&refused).unwrap(), @r#"{"refused":"groups.ledger1.databases: a, b come and go at once: apply one of them at a time, so that each majority meets the one before"}"#);
}

/// The proxy through which an operator applies puts the document in force before it answers
/// "accepted", so that the platform may fail right after.
#[actix_rt::test]
async fn a_proxy_enforces_before_it_answers() {
    let (platform, client) = start();
    let enforced = RefCell::new(None);
    let body = serde_json::to_vec(&proposal(1, 0, 3)).unwrap();
    let reply = serve(&client, &body, async |accepted| {
        platform.set_health(Health::Down);
        *enforced.borrow_mut() = Some(accepted.version);
    })
    .await;
    assert_eq!(reply.body, "{\"accepted\":1}");
    assert_eq!(*enforced.borrow(), Some(Version(1)));
    let nonsense = serve(&client, b"{}", async |_| ()).await;
    assert_eq!(nonsense.status, 400);
}

/// A VM that left is not marked as leaving until the lag of the list has passed.
#[actix_rt::test]
async fn the_list_lags() {
    let (platform, client) = start();
    let member = Member {
        vm: "mombasa-1".parse().unwrap(),
        address: "10.0.0.4:7000".parse().unwrap(),
        domain: "mombasa".parse().unwrap(),
        leaving: false,
    };
    platform.join(member.clone());
    let first = client.members(Version(0)).await.unwrap().unwrap();
    assert_eq!(first.members, std::slice::from_ref(&member));
    platform.set_list_lag(Span::from_secs(3600));
    platform.leave(&member.vm);
    assert!(client.members(first.version).await.unwrap().is_none());
    platform.set_list_lag(Span::ZERO);
    let marked = client.members(first.version).await.unwrap().unwrap();
    assert!(marked.members[0].leaving);
}

/// The platform fails and recovers. The watcher reports each of these once, after the version that was
/// accepted before.
#[actix_rt::test]
async fn the_watcher_outlasts_an_outage() {
    let (platform, client) = start();
    settle(&client, &proposal(1, 0, 3)).await;
    let known = Cell::new(Version(0));
    let events = RefCell::new(Vec::new());
    let pace = watch::Pace {
        poll: Span::from_millis(1),
        longest: Span::from_millis(2),
    };
    let watcher = watch::run(
        &client,
        pace,
        || known.get(),
        |event| {
            let line = match event {
                watch::Event::Config(accepted) => {
                    known.set(accepted.version);
                    format!("version {}", accepted.version)
                }
                watch::Event::Members(listed) => format!("{} members", listed.members.len()),
                watch::Event::Lost(_) => "lost".into(),
                watch::Event::Back => "back".into(),
            };
            match line.as_str() {
                "version 1" => platform.set_health(Health::Down),
                "lost" => platform.set_health(Health::Well),
                _ => {}
            }
            events.borrow_mut().push(line);
        },
    );
    let done = async {
        while events.borrow().last().map(String::as_str) != Some("back") {
            tokio::task::yield_now().await;
        }
    };
    tokio::select! {
        () = watcher => {}
        () = done => {}
    }
    assert_eq!(*events.borrow(), ["version 1", "lost", "back"]);
}
