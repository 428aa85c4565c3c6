//! The answers to callers and the statements sent to databases, in normal operation and after failures.

mod scripted;

use insta::assert_snapshot;
use lentilspoke::clock::Span;
use lentilspoke::standin::direct::host::simulate;
use scripted::{Reaction, World};
use std::rc::Rc;

#[test]
fn statements_reach_the_primary_under_their_own_text() {
    simulate(async {
        let world = World::new();
        let mut caller = world.caller("newest").await;
        assert_snapshot!(caller.run_all(&["read x", "write x 1"]).await, @r"
        read x: done sig | state idle 1/10
        write x 1: done sig | state idle 1/10
        ");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 q read x
        a1 q write x 1
        ");
    })
    .unwrap();
}

#[test]
fn aged_reads_go_to_a_replica_once_a_position_is_known() {
    simulate(async {
        let world = World::new();
        let mut caller = world.caller("aged").await;
        caller.run_all(&["read x", "read x", "read x"]).await;
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 q read x
        b2 start
        b2 q after 1/10 read x
        b2 q after 1/10 read x
        ");
    })
    .unwrap();
}

#[test]
fn a_transaction_holds_one_connection_from_its_first_statement() {
    simulate(async {
        let world = World::new();
        let mut caller = world.caller("newest").await;
        let answers = caller
            .run_all(&["begin", "read x", "write x 1", "commit"])
            .await;
        assert_snapshot!(answers, @r"
        begin: done - | state open -
        read x: done sig | state open 1/10
        write x 1: done sig | state open 1/10
        commit: done sig | state idle 1/10
        ");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 - begin
        a1 q read x
        a1 q write x 1
        a1 q commit
        ");
    })
    .unwrap();
}

/// Two callers share a connection. The second lacks a session value that the first has set, and both use
/// the same name for different statements: state left by the first would change what the second reads.
#[test]
fn what_one_session_sets_and_prepares_is_not_there_for_another() {
    simulate(async {
        let world = World::new();
        let mut one = world.caller("newest").await;
        let texts = ["set zone east", "prepare s read q1", "exec s x", "exec s x"];
        one.run_all(&texts).await;
        let mut two = world.caller("newest").await;
        two.run_all(&["prepare s write q2", "exec s x 1"]).await;
        assert_snapshot!(two.ask("exec t x").await, @"error no-statement prepare it first | state idle -");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 - set zone east
        a1 - prepare p0 read q1
        a1 q exec p0 x
        a1 q exec p0 x
        a1 - reset
        a1 - prepare p0 write q2
        a1 q exec p0 x 1
        ");
    })
    .unwrap();
}

/// The connection breaks after a write was sent. Whether it was kept is unknown; reporting that it was not
/// would make the caller write twice.
#[test]
fn a_write_whose_connection_breaks_is_in_doubt() {
    simulate(async {
        let world = World::new();
        world.script(|_, _, text| text.starts_with("write").then_some(Reaction::Break));
        let mut caller = world.caller("newest").await;
        assert_snapshot!(caller.ask("write x 1").await, @"error unknown the answer was lost | state idle -");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 q write x 1
        ");
    })
    .unwrap();
}

/// The connection breaks during a read. Nothing can have been kept, so the read is repeated without the
/// caller noticing.
#[test]
fn a_read_whose_connection_breaks_is_repeated() {
    simulate(async {
        let world = World::new();
        world.script(|_, number, text| {
            (number == 1 && text.starts_with("read")).then_some(Reaction::Break)
        });
        let mut caller = world.caller("newest").await;
        assert_snapshot!(caller.ask("read x").await, @"done sig | state idle 1/10");
    })
    .unwrap();
}

/// The connection breaks within a transaction, which rolls it back, so the caller is told that nothing is
/// kept. Its further statements would run outside the transaction on another connection, so none is sent.
#[test]
fn a_transaction_whose_connection_breaks_is_rolled_back() {
    simulate(async {
        let world = World::new();
        world.script(|_, _, text| text.starts_with("read y").then_some(Reaction::Break));
        let mut caller = world.caller("newest").await;
        let texts = ["begin", "write x 1", "read y", "read z", "commit", "read x"];
        assert_snapshot!(caller.run_all(&texts).await, @r"
        begin: done - | state open -
        write x 1: done sig | state open 1/10
        read y: error rolled-back the connection to the database broke | state failed -
        read z: error malformed end the failed transaction first | state failed -
        commit: error rolled-back the transaction had failed | state idle -
        read x: done sig | state idle 1/10
        ");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 - begin
        a1 q write x 1
        a1 q read y
        a2 start
        a2 q read x
        ");
    })
    .unwrap();
}

/// The answer to a commit is lost, and the database may have committed. Only if the transaction wrote is
/// the outcome unknown.
#[test]
fn a_commit_whose_connection_breaks_is_in_doubt_only_if_it_wrote() {
    simulate(async {
        let world = World::new();
        world.script(|_, _, text| (text == "commit").then_some(Reaction::Break));
        let mut caller = world.caller("newest").await;
        let wrote = caller.run_all(&["begin", "write x 1", "commit"]).await;
        assert_snapshot!(wrote, @r"
        begin: done - | state open -
        write x 1: done sig | state open 1/10
        commit: error unknown the answer was lost | state idle -
        ");
        let read = caller.run_all(&["begin", "read x", "commit"]).await;
        assert_snapshot!(read, @r"
        begin: done - | state open -
        read x: done sig | state open 1/10
        commit: error rolled-back the connection to the database broke | state idle -
        ");
    })
    .unwrap();
}

/// The database refuses to open a transaction. The next statement must not be sent: it would run outside
/// the transaction, and its write be kept although the caller may still roll back.
#[test]
fn nothing_follows_a_transaction_that_was_not_opened() {
    simulate(async {
        let world = World::new();
        world.script(|_, _, text| {
            let refused = "error not-primary b\nstate idle 1/10\n";
            (text == "begin").then(|| Reaction::Answer(1, refused.into()))
        });
        let mut caller = world.caller("newest").await;
        assert_snapshot!(caller.run_all(&["begin", "write x 1", "rollback"]).await, @r"
        begin: done - | state open -
        write x 1: error busy the primary does not serve; retry_ms=500 | state failed -
        rollback: done - | state idle -
        ");
        assert!(!world.seen().contains("write"));
    })
    .unwrap();
}

/// The primary is replaced while it still answers. A write on it is lost, and a read may miss commits of
/// the new primary, so neither answer may be returned.
#[test]
fn answers_after_the_lease_was_dropped_are_not_passed_on() {
    simulate(async {
        let world = World::new();
        world.script(|id, _, text| {
            let slow = id == "a" && text != "start";
            slow.then(|| Reaction::Answer(100, "done sig\nstate idle 1/10\n".into()))
        });
        let (mut writer, mut reader) = (world.caller("newest").await, world.caller("newest").await);
        writer.send("write x 1").await;
        reader.send("read x").await;
        tokio::time::sleep(Span::from_millis(50).into()).await;
        world.lead(1, "a", true);
        world
            .shared
            .modify(|view| view.leases.drop_epoch(&"ledger".parse().unwrap(), 1));
        tokio::time::sleep(Span::from_millis(100).into()).await;
        world.lead(2, "b", false);
        assert_snapshot!(writer.answer().await, @"error unknown the primary was replaced meanwhile | state idle -");
        assert_snapshot!(reader.answer().await, @"done sig | state idle 1/10");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a2 start
        a1 q write x 1
        a2 q read x
        a1 closed
        a2 closed
        b3 start
        b3 q read x
        ");
    })
    .unwrap();
}

/// The lease is valid, but its database is not in the register any more. Waiting for a primary once took
/// this lease for a change and retried without a pause, so that the VM answered no caller.
#[test]
fn a_lease_on_a_database_that_is_gone_is_waited_out() {
    simulate(async {
        let world = World::new();
        world.shared.modify(|view| {
            view.databases.remove(&"a".parse().unwrap());
        });
        let mut caller = world.caller("newest").await;
        let before = world.now();
        assert_snapshot!(caller.ask("read x").await, @"error busy no primary is known; retry_ms=500 | state idle -");
        assert_eq!(world.now().since(before), Span::from_millis(200));
    })
    .unwrap();
}

/// The database has no connection left, and the caller's statement is refused at once with a time to retry.
/// Without a pause between attempts to connect, the VM did nothing else.
#[test]
fn a_full_database_is_asked_again_with_pauses() {
    simulate(async {
        let world = World::new();
        world.script(|_, _, text| (text == "start").then(|| Reaction::Answer(1, "error full 4\n".into())));
        let mut caller = world.caller("newest").await;
        assert_snapshot!(caller.ask("write x 1").await, @"error busy the primary is busy; retry_ms=40 | state idle -");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 closed
        a2 start
        a2 closed
        ");
        assert_snapshot!(caller.ask("write x 1").await, @"error busy the primary is busy; retry_ms=120 | state idle -");
        assert_snapshot!(world.seen(), @r"
        a3 start
        a3 closed
        ");
    })
    .unwrap();
}

/// A connection stops responding while new ones work. Its statement fails at the route's timeout. Idle
/// connections from before have often stopped too, and each would fail one more statement if kept.
#[test]
fn a_silent_connection_takes_the_idle_ones_along() {
    simulate(async {
        let world = World::new();
        world
            .script(|_, number, text| (number <= 2 && text == "read late").then_some(Reaction::Nothing));
        let (mut one, mut two) = (world.caller("newest").await, world.caller("newest").await);
        one.send("read x").await;
        two.ask("read x").await;
        one.answer().await;
        tokio::time::sleep(Span::from_millis(10).into()).await;
        assert_snapshot!(one.ask("read late").await, @"error late the route's timeout is over | state idle -");
        assert_snapshot!(one.ask("read late").await, @"done sig | state idle 1/10");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a2 start
        a1 q read x
        a2 q read x
        a2 q read late
        a1 closed
        a2 closed
        a3 start
        a3 q read late
        ");
    })
    .unwrap();
}

/// In a planned stop, idle sessions are closed once the load balancer sends no more callers. An open
/// transaction gets half of the grace period and is then rolled back, which its caller is told.
#[test]
fn a_stop_closes_idle_sessions_and_rolls_back_what_stays_open() {
    simulate(async {
        let world = World::new();
        let (mut idle, mut open) = (world.caller("newest").await, world.caller("newest").await);
        open.run_all(&["begin", "write x 1"]).await;
        let front = Rc::clone(&world.front);
        let before = world.now();
        tokio::task::spawn_local(async move { front.stop(Span::from_secs(6)).await });
        assert_snapshot!(idle.line().await, @"(closed)");
        assert_eq!(world.now().since(before), Span::from_millis(2_200));
        tokio::time::sleep(Span::from_millis(1_000).into()).await;
        assert_snapshot!(open.run_all(&["read x", "rollback"]).await, @r"
        read x: error rolled-back the transaction was idle for too long, or its VM stops | state failed -
        rollback: done - | state idle -
        ");
        assert_snapshot!(open.line().await, @"(closed)");
        assert_snapshot!(world.seen(), @r"
        a1 start
        a1 - begin
        a1 q write x 1
        a1 - rollback
        ");
    })
    .unwrap();
}

/// A caller connects to a stopping VM just before idle sessions are closed, with its first statement in
/// flight. It is answered, because a session is closed only after it has been idle for some time.
#[test]
fn a_stop_answers_a_caller_that_has_just_connected() {
    simulate(async {
        let world = World::new();
        let front = Rc::clone(&world.front);
        tokio::task::spawn_local(async move { front.stop(Span::from_secs(6)).await });
        tokio::time::sleep(Span::from_millis(2_190).into()).await;
        let mut caller = world.caller("newest").await;
        tokio::time::sleep(Span::from_millis(20).into()).await;
        assert_snapshot!(caller.run_all(&["write x 1"]).await, @"write x 1: done sig | state idle 1/10");
        assert_snapshot!(caller.line().await, @"(closed)");
    })
    .unwrap();
}

/// A caller connects to a VM that has no configuration yet. The answer is that nothing was run and when to
/// retry, and not that the route does not exist, after which the caller would not retry.
#[test]
fn before_the_first_configuration_callers_may_retry() {
    simulate(async {
        let world = World::new();
        world.shared.modify(|view| view.config = None);
        let answers = world.refusal("newest").await;
        assert!(
            answers.starts_with("error busy no configuration is known here yet; retry_ms="),
            "{answers}"
        );
    })
    .unwrap();
}

/// A route is removed while a transaction is open. The change applies from the next transaction on.
#[test]
fn a_transaction_keeps_its_route() {
    simulate(async {
        let world = World::new();
        let mut caller = world.caller("newest").await;
        caller.run_all(&["begin", "write x 1"]).await;
        world.shared.modify(|view| {
            let mut config = scripted::config();
            config.routes.clear();
            view.config = Some(Rc::new(config));
        });
        assert_snapshot!(caller.run_all(&["write y 1", "commit", "read x"]).await, @r"
        write y 1: done sig | state open 1/10
        commit: done sig | state idle 1/10
        read x: error no-database no route has that name any more | state idle -
        ");
    })
    .unwrap();
}

/// A primary is about to stop, and its replacement is delayed. It serves for some more seconds; work that
/// it is sent after that would be lost.
#[test]
fn a_primary_that_leaves_gets_no_new_work_after_some_seconds() {
    simulate(async {
        let world = World::new();
        world.shared.modify(|view| {
            view.databases
                .get_mut(&"a".parse().unwrap())
                .unwrap()
                .leaving = true;
        });
        let mut caller = world.caller("newest").await;
        assert_snapshot!(caller.ask("write x 1").await, @"done sig | state idle 1/10");
        tokio::time::sleep(Span::from_millis(4_500).into()).await;
        assert_snapshot!(caller.ask("write x 1").await, @"error busy no primary is known; retry_ms=500 | state idle -");
    })
    .unwrap();
}

/// The answer to the first statement of a transaction on a replica is lost. Repeating it would open the
/// transaction on a second connection; instead, the caller is told that it was rolled back.
#[test]
fn the_first_statement_of_a_transaction_is_not_run_twice() {
    simulate(async {
        let world = World::new();
        let mut caller = world.caller("aged").await;
        caller.ask("read x").await;
        world.script(|id, _, text| {
            (id == "b" && text.starts_with("read")).then_some(Reaction::Break)
        });
        world.seen();
        let answers = caller.run_all(&["begin read", "read x", "rollback"]).await;
        assert_snapshot!(answers, @r"
        begin read: done - | state open -
        read x: error rolled-back the connection to the database broke | state failed -
        rollback: done - | state idle -
        ");
        assert_snapshot!(world.seen(), @r"
        b2 start
        b2 - after 1/10 begin read
        b2 q read x
        ");
    })
    .unwrap();
}
