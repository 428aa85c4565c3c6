//! Tests of the simulated platform of direct access by itself.

use bytes::{Bytes, BytesMut};
use lentilspoke::clock::Span;
use lentilspoke::direct::adapter::{Promoted, Promotion};
use lentilspoke::direct::statement::{Answer, Code, End, Order, State};
use lentilspoke::direct::table::{Change, Command, Era, Fault, Response, RowId, Version};
use lentilspoke::standin::direct::fault;
use lentilspoke::standin::direct::host::{self, simulate};
use lentilspoke::standin::direct::log::Log;
use lentilspoke::standin::direct::machine::Machine;
use lentilspoke::standin::direct::network::Node;
use lentilspoke::standin::direct::setup::Setup;
use lentilspoke::standin::direct::store::{Health, Losing};
use lentilspoke::standin::direct::world::{Turns, World};
use lentilspoke::types::{DatabaseId, Position};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::sleep;

const SECOND: Span = Span::from_secs(1);

/// A world with one VM, whose program only passes its `Machine` to the test.
async fn idle_world() -> (Rc<World>, Machine) {
    let (machines, mut machine) = mpsc::unbounded_channel();
    let setup = Setup {
        vms: 1,
        ..Setup::default()
    };
    let program = move |machine| {
        let _ = machines.send(machine);
        Box::pin(std::future::pending()) as _
    };
    let world = World::start(setup, Rc::new(program)).unwrap();
    (world, machine.recv().await.unwrap())
}

fn write(key: &str, value: &'static str, version: u64) -> Command {
    let row = RowId::new("t", key);
    Command::Write(Change {
        expect: vec![(row.clone(), Version::new(Era(0), version))],
        writes: vec![(row, Bytes::from_static(value.as_bytes()))],
        remove: Vec::new(),
    })
}

/// A session with a database, opened from a VM.
struct Session {
    stream: Box<dyn lentilspoke::direct::adapter::Stream>,
    machine: Rc<Machine>,
    input: BytesMut,
}

impl Session {
    async fn open(world: &World, machine: &Rc<Machine>, id: &str) -> (Self, Answer) {
        let id: DatabaseId = id.parse().unwrap();
        let (group, database) = world.database(&id).unwrap();
        let connect = &machine.adapter.connect;
        let stream = connect(database.spec.address, SECOND).await.unwrap();
        let mut session = Self {
            stream,
            machine: machine.clone(),
            input: BytesMut::new(),
        };
        let mut output = BytesMut::new();
        (machine.adapter.wire.write_start)(&mut output, &group.id, &id, None);
        let answer = session.send(output, true).await;
        (session, answer)
    }

    async fn ask(&mut self, text: &str) -> Answer {
        let line = format!("ask q {text}\n");
        self.send(BytesMut::from(line.as_bytes()), false).await
    }

    async fn order(&mut self, order: Order) -> Answer {
        let mut output = BytesMut::new();
        (self.machine.adapter.wire.write_order)(&mut output, &order);
        self.send(output, false).await
    }

    async fn send(&mut self, output: BytesMut, starting: bool) -> Answer {
        self.stream.write_all(&output).await.unwrap();
        loop {
            let read = self.machine.adapter.wire.read_answer;
            if let Some(answer) = read(&mut self.input, starting).unwrap() {
                return answer;
            }
            assert_ne!(self.stream.read_buf(&mut self.input).await.unwrap(), 0);
        }
    }
}

fn code(answer: &Answer) -> Option<Code> {
    match answer.end {
        End::Error { code, .. } => Some(code),
        End::Done(_) => None,
    }
}

fn at(term: u64, offset: u64) -> Option<Position> {
    Some(format!("{term}/{offset}").parse().unwrap())
}

#[test]
fn store_changes_rows_under_conditions() {
    simulate(async {
        let (world, machine) = idle_world().await;
        let store = &machine.adapter.store;
        let Ok(Response::Written(version)) = store(write("a", "1", 0), SECOND).await else {
            panic!("not written");
        };
        let response = store(write("a", "2", 0), SECOND).await.unwrap();
        assert!(matches!(response, Response::Conflict(rows) if rows[0].version == version));
        let follow = |after, wait| Command::Follow {
            table: "t".into(),
            after,
            wait,
        };
        let response = store(
            follow(Version::new(version.era, version.number - 1), SECOND),
            SECOND,
        )
        .await
        .unwrap();
        assert!(matches!(response, Response::Rows { rows, .. } if rows.len() == 1));
        let response = store(follow(version, Span(1)), SECOND).await.unwrap();
        assert!(matches!(response, Response::Rows { rows, .. } if rows.is_empty()));
        world.store.put(RowId::new("t", "b"), None);
        world.store.forget();
        let response = store(follow(version, SECOND), SECOND).await.unwrap();
        assert_eq!(response, Response::Forgotten);
    })
    .unwrap();
}

#[test]
fn store_fails_in_each_way() {
    simulate(async {
        let (world, machine) = idle_world().await;
        let store = &machine.adapter.store;
        for (health, refused) in [
            (Health::Refusing, true),
            (Health::Silent, false),
            (Health::Reset, false),
        ] {
            world.store.set_health(health, None);
            let fault = store(write("a", "1", 0), SECOND).await.unwrap_err();
            assert_eq!(matches!(fault, Fault::Refused(_)), refused);
        }
        let others = [World::vm(7).unwrap()].into();
        world.store.set_health(Health::Silent, Some(others));
        world.store.set_losing(Losing::Later(SECOND));
        let row = RowId::new("t", "a");
        let fault = store(write("a", "1", 0), SECOND).await.unwrap_err();
        assert!(matches!(fault, Fault::Unknown(_)));
        assert_eq!(world.store.get(&row), None);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.store.get(&row), Some(Bytes::from_static(b"1")));
    })
    .unwrap();
}

#[test]
fn database_refuses_what_it_cannot_do() {
    simulate(async {
        let (world, machine) = idle_world().await;
        let machine = Rc::new(machine);
        let (mut primary, answer) = Session::open(&world, &machine, "db0a").await;
        assert_eq!((code(&answer), answer.position), (None, at(1, 0)));
        let answer = primary.ask("write i1 v1").await;
        assert_eq!((code(&answer), answer.position), (None, at(1, 1)));
        let (mut replica, _) = Session::open(&world, &machine, "db0b").await;
        let answer = replica.ask("after 1/9 read i1").await;
        assert_eq!(code(&answer), Some(Code::Behind));
        let answer = replica.ask("after 1/1 read i1").await;
        assert_eq!(answer.rows[0], "i1 in 1 commits");
        assert_eq!(
            code(&replica.ask("write i1 v2").await),
            Some(Code::NotPrimary)
        );
        assert_eq!(
            code(&primary.ask("exec s1 i1").await),
            Some(Code::NoStatement)
        );
        let answer = primary.order(Order::Status).await;
        let standing = (machine.adapter.wire.read_status)(&answer).unwrap();
        assert!(standing.primary);
        assert_eq!(Some(standing.received), at(1, 1));
    })
    .unwrap();
}

/// A replaced primary goes on answering for a while. A promotion keeps what the new primary had
/// received; what the old one commits later is lost.
#[test]
fn promotion_takes_what_was_received() {
    simulate(async {
        let (world, machine) = idle_world().await;
        let machine = Rc::new(machine);
        let (mut old, _) = Session::open(&world, &machine, "db0a").await;
        assert_eq!(code(&old.ask("begin").await), None);
        let (group, replica) = world.database(&"db0b".parse().unwrap()).unwrap();
        replica.faults.deaf.set(true);
        old.ask("write i1 v1").await;
        old.ask("commit").await;
        let now = (machine.adapter.clock)();
        let promoted = (machine.adapter.promote)(Promotion {
            group: group.id.clone(),
            database: replica.spec.id.clone(),
            holder: machine.vm.clone(),
            token: 1,
            deadline: now + SECOND,
        });
        assert_eq!(promoted.await, Promoted::Done);
        sleep(Duration::from_millis(1_100)).await;
        let answer = old.ask("write i1 v2").await;
        assert_eq!(code(&answer), None);
        sleep(Duration::from_secs(3)).await;
        let answer = old.ask("write i1 v3").await;
        assert_eq!(code(&answer), Some(Code::NotPrimary));
        let (mut new, _) = Session::open(&world, &machine, "db0b").await;
        let answer = new.ask("write i1 v4").await;
        assert_eq!((answer.state, answer.position), (State::Idle, at(2, 1)));
        let journal = RefCell::borrow(&world.journal);
        let lost: Vec<bool> = journal.commits.iter().map(|c| c.lost.is_some()).collect();
        assert_eq!(lost, [true, true, false]);
    })
    .unwrap();
}

#[test]
fn frozen_vm_pauses_and_killed_vm_ends() {
    simulate(async {
        let ticks = Rc::new(RefCell::new(0));
        let counted = ticks.clone();
        let program = move |_: Machine| {
            let ticks = counted.clone();
            Box::pin(async move {
                for _ in 0..100 {
                    sleep(Duration::from_secs(1)).await;
                    *ticks.borrow_mut() += 1;
                }
            }) as _
        };
        let setup = Setup {
            vms: 1,
            ..Setup::default()
        };
        let world = World::start(setup, Rc::new(program)).unwrap();
        let vm = World::vm(0).unwrap();
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(*ticks.borrow(), 1);
        world.freeze_vm(&vm, true);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(*ticks.borrow(), 1);
        world.freeze_vm(&vm, false);
        sleep(Duration::from_millis(1)).await;
        assert_eq!(*ticks.borrow(), 2);
        world.kill_vm(&vm);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(*ticks.borrow(), 2);
    })
    .unwrap();
}

/// Applies a fault to an idle world while `during` runs, then ends it. No task may panic meanwhile:
/// a panic would end the task without failing the test.
fn run_under<F: Future<Output = ()>>(
    fault: fault::Fault,
    during: impl FnOnce(Rc<World>, Rc<Machine>) -> F,
) -> Rc<World> {
    let panics = host::panics();
    let world = simulate(async {
        let (world, machine) = idle_world().await;
        fault.begin(&world);
        during(world.clone(), Rc::new(machine)).await;
        fault.end(&world);
        sleep(SECOND.into()).await;
        world
    });
    assert_eq!(host::panics(), panics);
    world.unwrap()
}

fn id(text: &str) -> DatabaseId {
    text.parse().unwrap()
}

#[test]
fn grey_database_fails_its_share_of_statements() {
    run_under(
        fault::Fault::Grey(id("db0a"), 40),
        |world, machine| async move {
            let (mut session, _) = Session::open(&world, &machine, "db0a").await;
            let mut failed = 0;
            for _ in 0..100 {
                failed += u32::from(code(&session.ask("read i1").await) == Some(Code::Failed));
            }
            assert_eq!(failed, 40);
            let answer = session.order(Order::Status).await;
            assert_eq!(code(&answer), None, "it is well otherwise");
        },
    );
}

#[test]
fn flapping_database_goes_down_and_up_and_ends_up() {
    let world = run_under(
        fault::Fault::Flap(id("db0a"), SECOND),
        |world, _| async move {
            let mut ups = Vec::new();
            for _ in 0..4 {
                sleep(Duration::from_millis(500)).await;
                ups.push(world.groups[0].members()[0].life().is_some());
                sleep(Duration::from_millis(500)).await;
            }
            assert_eq!(ups, [false, true, false, true]);
        },
    );
    assert!(world.groups[0].members()[0].life().is_some());
}

#[test]
fn severed_primary_reaches_its_replicas_again() {
    let replicas = ["db0b", "db0c"].map(|text| Node::Database(id(text)));
    let primary = Node::Database(id("db0a"));
    let fault = fault::Fault::Sever(primary.clone(), replicas.to_vec());
    let cut = (primary.clone(), replicas.clone());
    let world = run_under(fault, |world, machine| async move {
        let (primary, replicas) = cut;
        assert!(
            replicas
                .iter()
                .all(|node| !world.network.reaches(&primary, node))
        );
        let (session, _) = Session::open(&world, &machine, "db0a").await;
        drop(session);
    });
    assert!(
        replicas
            .iter()
            .all(|node| world.network.reaches(&primary, node))
    );
}

#[test]
fn slow_link_delays_and_recovers() {
    let node = Node::Vm("vm1".parse().unwrap());
    let fault = fault::Fault::SlowLink(node.clone(), Span::from_millis(300));
    let before = Rc::new(RefCell::new(None));
    let noted = before.clone();
    let world = run_under(fault, |world, machine| async move {
        let begun = tokio::time::Instant::now();
        let (mut session, _) = Session::open(&world, &machine, "db0a").await;
        session.ask("read i1").await;
        assert!(
            begun.elapsed() >= Duration::from_millis(1_800),
            "three ways there and back"
        );
        *noted.borrow_mut() = Some(world.network.delay(&node, &Node::Store));
    });
    let node = Node::Vm("vm1".parse().unwrap());
    let now = world.network.delay(&node, &Node::Store);
    assert_eq!(before.borrow().unwrap(), now + Duration::from_millis(300));
}

/// A VM that is removed for good is replaced by one with another name and address in the same
/// failure domain. Questions to the old address get no answer.
#[test]
fn replaced_vm_comes_at_another_address() {
    simulate(async {
        let (machines, mut machine) = mpsc::unbounded_channel();
        let program = move |machine| {
            let _ = machines.send(machine);
            Box::pin(std::future::pending()) as _
        };
        let world = World::start(Setup::default(), Rc::new(program)).unwrap();
        let first = machine.recv().await.unwrap();
        let other = machine.recv().await.unwrap();
        fault::Fault::Replace(first.vm.clone()).begin(&world);
        machine.recv().await.unwrap();
        let new = machine.recv().await.unwrap();
        assert_eq!((new.vm.as_str(), &new.domain), ("vm4", &first.domain));
        assert_ne!(new.address, first.address);
        assert_eq!(world.running().len(), 3);
        assert!(!new.seeds.contains(&first.address));
        let question = lentilspoke::direct::mesh::Question::HandOver {
            token: 1,
            version: Version::new(Era(0), 1),
        };
        assert!(
            (other.call.0)(first.address, question, SECOND)
                .await
                .is_none()
        );
    })
    .unwrap();
}

/// A VM that is suspended in turns does proportionally less work.
#[test]
fn starved_vm_runs_by_turns() {
    simulate(async {
        let ticks = Rc::new(RefCell::new(0));
        let counted = ticks.clone();
        let program = move |_: Machine| {
            let ticks = counted.clone();
            Box::pin(async move {
                for _ in 0..1_000 {
                    sleep(Duration::from_millis(100)).await;
                    *ticks.borrow_mut() += 1;
                }
            }) as _
        };
        let setup = Setup {
            vms: 1,
            ..Setup::default()
        };
        let world = World::start(setup, Rc::new(program)).unwrap();
        let turns = Turns {
            stops: SECOND,
            runs: Span::from_millis(350),
        };
        let fault = fault::Fault::Starve(World::vm(0).unwrap(), turns);
        fault.begin(&world);
        sleep(Duration::from_millis(2_700)).await;
        let starved = *ticks.borrow();
        assert!((6..=10).contains(&starved), "{starved}");
        fault.end(&world);
        sleep(Duration::from_secs(2)).await;
        assert!(*ticks.borrow() >= starved + 19);
    })
    .unwrap();
}

/// Logs are stored as terms and the offsets at which they end, and behave like lists of their
/// entries' terms.
#[test]
fn logs_are_like_lists() {
    fn same(ours: Vec<u8>, theirs: Vec<u8>, count: usize) -> bool {
        let rising = |steps: &[u8]| {
            let mut term = 1;
            let terms = steps.iter().map(|step| {
                term += u64::from(step % 3 == 0);
                term
            });
            terms.collect::<Vec<u64>>()
        };
        let log = |terms: &[u64]| {
            let mut log = Log::default();
            terms.iter().for_each(|term| log.append(*term));
            log
        };
        let (ours, theirs) = (rising(&ours), rising(&theirs));
        let (a, b) = (log(&ours), log(&theirs));
        let shared = ours.iter().zip(&theirs).take_while(|(a, b)| a == b).count();
        let count = count % (ours.len() + 1);
        let terms = (1..=ours.len()).map(|offset| a.term_at(offset).unwrap());
        a.shared(&b) == shared
            && a.first(count) == log(&ours[..count])
            && a.len() == ours.len()
            && terms.eq(ours.iter().copied())
    }
    let mut quick = quickcheck::QuickCheck::new().rng(quickcheck::Gen::from_size_and_seed(40, 7));
    quick = quick.tests(2_000);
    quick.quickcheck(same as fn(Vec<u8>, Vec<u8>, usize) -> bool);
}

#[test]
fn panicking_task_is_counted() {
    let before = host::panics();
    simulate(async {
        let task = tokio::task::spawn_local(async { panic!("on purpose") });
        assert!(task.await.is_err());
    })
    .unwrap();
    assert_eq!(host::panics(), before + 1);
}
