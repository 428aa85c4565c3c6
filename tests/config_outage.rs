//! An accepted configuration comes into force on every proxy, even if the platform fails, and never
//! reverts.

use lentilspoke::config::Accepted;
use lentilspoke::net::http;
use lentilspoke::net::platform::Client;
use lentilspoke::net::platform::apply::{CONFIG_PATH, Proposal, Verdict, propose};
use lentilspoke::standin::demo::{self, Demo};
use lentilspoke::standin::platform::Health;
use lentilspoke::types::{ApplyId, Version};
use std::net::SocketAddr;

async fn start() -> Demo {
    demo::start(&demo::Plan::on_free_ports(3)).await.unwrap()
}

async fn in_force(admin: SocketAddr) -> Accepted {
    let reply = http::get(admin, CONFIG_PATH).await.unwrap();
    let accepted: Option<Accepted> = serde_json::from_slice(&reply.body).unwrap();
    accepted.unwrap()
}

/// Waits until a proxy has `version`; panics if its version decreases.
async fn reaches(demo: &Demo, proxy: usize, version: Version) -> Accepted {
    let mut status = demo.statuses().swap_remove(proxy);
    let mut before = Version(0);
    while before < version {
        let known = status.borrow_and_update().version;
        assert!(known >= before, "proxy {proxy} went back");
        if known < version {
            status.changed().await.unwrap();
        }
        before = known;
    }
    let accepted = in_force(demo.admins()[proxy]).await;
    assert!(accepted.version >= before, "proxy {proxy} shows less");
    accepted
}

fn proposal(id: u64, base: &Accepted, slots: u32) -> Proposal {
    let mut document = base.document.clone();
    let groups = document.groups.values_mut();
    for database in groups.flat_map(|group| group.databases.values_mut()) {
        database.slots = slots;
    }
    Proposal {
        id: ApplyId(id),
        base: base.version,
        document,
    }
}

/// An operator applies through one proxy and gets "accepted". From then on the platform does not answer.
/// The other proxies get the version from their peers.
#[actix_rt::test]
async fn an_accepted_version_spreads_without_the_platform() {
    let demo = start().await;
    let admins = demo.admins();
    let first = reaches(&demo, 0, Version(1)).await;
    let proposal = proposal(7, &first, 5);
    let verdict = propose(admins[0], &proposal).await.unwrap();
    demo.platform().set_health(Health::Silent);
    assert_eq!(verdict, Verdict::Accepted(Version(2)));
    for proxy in 0..admins.len() {
        let accepted = reaches(&demo, proxy, Version(2)).await;
        assert_eq!(accepted.document, proposal.document);
    }
}

/// Two operators apply through two proxies at the same time. One is accepted, and the other gets the
/// winner's changes. Every proxy and the platform have the winner's document.
#[actix_rt::test]
async fn a_race_has_one_winner_everywhere() {
    let demo = start().await;
    let admins = demo.admins();
    let first = reaches(&demo, 0, Version(1)).await;
    let (a, b) = (proposal(1, &first, 4), proposal(2, &first, 6));
    let (verdict_a, verdict_b) =
        futures_util::join!(propose(admins[0], &a), propose(admins[1], &b));
    let (winner, loser) = match (verdict_a.unwrap(), verdict_b.unwrap()) {
        (Verdict::Accepted(Version(2)), loser) => (a, loser),
        (loser, Verdict::Accepted(Version(2))) => (b, loser),
        neither => panic!("{neither:?}"),
    };
    assert!(matches!(loser, Verdict::Outrun(_)), "{loser:?}");
    for proxy in 0..admins.len() {
        let accepted = reaches(&demo, proxy, Version(2)).await;
        assert_eq!(accepted.document, winner.document);
    }
    let stored = Client::new([demo.platform().address()])
        .config(Version(0))
        .await;
    assert_eq!(stored.unwrap().unwrap().document, winner.document);
}

/// The platform is down when an operator applies. The answer is "not applied" and nothing changes; after
/// the outage the same file is accepted.
#[actix_rt::test]
async fn nothing_changes_while_the_platform_is_down() {
    let demo = start().await;
    let admin = demo.admins()[0];
    let first = reaches(&demo, 0, Version(1)).await;
    let proposal = proposal(9, &first, 4);
    demo.platform().set_health(Health::Down);
    let refused = propose(admin, &proposal).await.unwrap();
    assert!(matches!(refused, Verdict::NotApplied(_)), "{refused:?}");
    assert_eq!(in_force(admin).await, first);
    demo.platform().set_health(Health::Well);
    let accepted = propose(admin, &proposal).await.unwrap();
    assert_eq!(accepted, Verdict::Accepted(Version(2)));
}
