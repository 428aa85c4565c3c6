//! Processor time of one statement on its way in and out, by step.

use bytes::{Bytes, BytesMut};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use lentilspoke::clock::{Span, Time};
use lentilspoke::core::request::{Done, Outcome, Status};
use lentilspoke::net::frame::{Frame, encode, kind, put, put_raw, split};
use lentilspoke::net::pg::prepared::{Library, Names};
use lentilspoke::net::pg::{Core, Pool, Rules, Told, serve};
use lentilspoke::net::pg::{Session, Settings, build};
use lentilspoke::net::splice::{Expect, Step, splice};
use lentilspoke::net::target::{Names as Held, rewrite};
use lentilspoke::sql::Script;
use lentilspoke::token::{Key, Token};
use lentilspoke::types::Link;
use lentilspoke::types::{GroupId, Offset, Position, Term};
use pgwire::messages::data::DataRow;
use pgwire::messages::extendedquery::{BindComplete, ParseComplete};
use pgwire::messages::response::CommandComplete;
use std::cell::RefCell;
use std::hint::black_box;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use tokio::sync::mpsc::unbounded_channel;

const READ: &str = "SELECT id, body FROM ledger WHERE id = 'lot-17' ORDER BY id LIMIT 10";
const WRITE: &str = "INSERT INTO ledger (id, body) VALUES ('lot-17', 'confirmed by broker 9')";
const ZERO: &[u8] = &[0];

fn session() -> Session {
    Session {
        names: Names::default(),
        settings: Settings::new(None),
    }
}

fn simple(text: &str) -> Vec<Frame> {
    let mut out = BytesMut::new();
    put_raw(&mut out, kind::QUERY, &[text.as_bytes(), ZERO]);
    split(out.freeze()).unwrap()
}

fn parse() -> Vec<Frame> {
    let mut out = BytesMut::new();
    let parts = [b"s0".as_slice(), ZERO, READ.as_bytes(), ZERO, &[0, 0]];
    put_raw(&mut out, kind::PARSE, &parts);
    put_raw(&mut out, kind::SYNC, &[]);
    split(out.freeze()).unwrap()
}

fn execute() -> Vec<Frame> {
    let mut out = BytesMut::new();
    put_raw(&mut out, kind::BIND, &[ZERO, b"s0", ZERO, &[0; 6]]);
    put_raw(&mut out, kind::EXECUTE, &[ZERO, &[0; 4]]);
    put_raw(&mut out, kind::SYNC, &[]);
    split(out.freeze()).unwrap()
}

fn answer() -> Bytes {
    let mut out = BytesMut::new();
    put(&mut out, &ParseComplete::new());
    put(&mut out, &BindComplete::new());
    for _ in 0..5 {
        put(&mut out, &DataRow::new(BytesMut::from(&[0; 64][..]), 2));
    }
    out.extend_from_slice(&encode(&CommandComplete::new("SELECT 5".into())));
    out.freeze()
}

fn classify(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("classify");
    group.bench_function("read", |b| b.iter(|| Script::read(black_box(READ))));
    group.bench_function("write", |b| b.iter(|| Script::read(black_box(WRITE))));
    group.bench_function("begin", |b| b.iter(|| Script::read(black_box("BEGIN"))));
    let long = format!(
        "INSERT INTO ledger VALUES ('a', '{}')",
        "x".repeat(64 * 1024)
    );
    group.bench_function("write_64k", |b| b.iter(|| Script::read(black_box(&long))));
    group.finish();
}

fn batch(criterion: &mut Criterion) {
    let library = Library::default();
    let mut group = criterion.benchmark_group("batch");
    for (name, frames) in [
        ("simple_read", simple(READ)),
        ("simple_write", simple(WRITE)),
    ] {
        let mut session = session();
        group.bench_function(name, |b| {
            b.iter(|| build(black_box(&frames), &mut session, &library, true).unwrap());
        });
    }
    let mut session = session();
    build(&parse(), &mut session, &library, true).unwrap();
    let repeated = parse();
    group.bench_function("prepare_known", |b| {
        b.iter(|| build(black_box(&repeated), &mut session, &library, true).unwrap());
    });
    let frames = execute();
    group.bench_function("execute_prepared", |b| {
        b.iter(|| build(black_box(&frames), &mut session, &library, true).unwrap());
    });
    let body = build(&frames, &mut session, &library, true).unwrap().body;
    let name = split(body.clone()).unwrap()[0]
        .fields()
        .text()
        .unwrap()
        .to_owned();
    let mut held = Held::default();
    held.insert(name.into());
    group.bench_function("rewrite_held", |b| {
        b.iter(|| rewrite(black_box(&body), &mut held).unwrap());
    });
    group.finish();
}

fn answers(criterion: &mut Criterion) {
    let steps = [
        Step::Drop(Expect::Parse),
        Step::Pass(Expect::Bind),
        Step::Pass(Expect::Execute),
    ];
    let answer = answer();
    criterion.bench_function("splice/five_rows", |b| {
        b.iter(|| splice(&steps, &split(black_box(&answer).clone()).unwrap()).unwrap());
    });
}

fn tokens(criterion: &mut Criterion) {
    let key: Key = "sixteen bytes and more".parse().unwrap();
    let mut token = Token::default();
    for number in 1..4 {
        let group: GroupId = format!("ledger{number}").parse().unwrap();
        token.raise(&group, Position::new(Term(3), Offset(1_000_000)));
    }
    let text = token.sign(&key);
    let mut group = criterion.benchmark_group("token");
    group.bench_function("sign", |b| b.iter(|| black_box(&token).sign(&key)));
    group.bench_function("verify", |b| {
        b.iter_batched(
            || text.clone(),
            |text| Token::verify(&text, &key),
            BatchSize::SmallInput,
        );
    });
    group.finish();
}

/// A core that answers every request at once with the same rows.
fn echo() -> Core {
    let mut body = BytesMut::new();
    put(&mut body, &DataRow::new(BytesMut::from(&[0; 64][..]), 2));
    body.extend_from_slice(&encode(&CommandComplete::new("SELECT 1".into())));
    let body = body.freeze();
    let sender_slot = Rc::new(RefCell::new(None));
    let submit_slot = Rc::clone(&sender_slot);
    Core {
        open: Box::new(move || {
            let (sender, receiver) = unbounded_channel();
            sender_slot.replace(Some(sender));
            (Link(1), receiver)
        }),
        submit: Box::new(move |_| {
            let outcome = Outcome::Done(Done {
                body: body.clone(),
                status: Status::Idle,
                wrote: None,
                replica: true,
            });
            if let Some(sender_slot) = submit_slot.borrow().as_ref() {
                let _ = sender_slot.send(Told::Outcome {
                    outcome,
                    floor: None,
                });
            }
        }),
        depart: Box::new(|_| {}),
        cancel: Box::new(|_| {}),
        now: Box::new(|| Time(0)),
        pool: Box::new(|_, _| {
            Some(Pool {
                id: "desk".parse().unwrap(),
                max_age: None,
                patience: Span::from_secs(5),
            })
        }),
    }
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

fn proxy() -> SocketAddr {
    let (listener, address) = listen();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            serve(listener, echo(), Rules::default()).await;
        });
    });
    address
}

/// Answers each read from the socket with a fixed number of bytes.
fn fixed_responder(length: usize) -> SocketAddr {
    let (listener, address) = listen();
    std::thread::spawn(move || {
        actix_rt::System::new().block_on(async move {
            use tokio::io::{AsyncReadExt, AsyncWriteExt};
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            let mut buffer = [0; 4096];
            while stream.read(&mut buffer).await.unwrap_or(0) > 0 {
                stream.write_all(&vec![0; length]).await.unwrap();
            }
        });
    });
    address
}

fn round_trip(stream: &mut TcpStream, query: &[u8], length: usize) {
    stream.write_all(query).unwrap();
    let mut answer = [0; 4096];
    stream.read_exact(&mut answer[..length]).unwrap();
}

/// A round trip over loopback through the callers' side, compared with a plain responder.
fn loopback(criterion: &mut Criterion) {
    let mut query = BytesMut::new();
    put_raw(&mut query, kind::QUERY, &[READ.as_bytes(), ZERO]);
    let mut stream = TcpStream::connect(proxy()).unwrap();
    stream.set_nodelay(true).unwrap();
    let login = [&[0, 3, 0, 0], b"user\0broker\0\0".as_slice()].concat();
    let length = u32::try_from(login.len() + 4).unwrap().to_be_bytes();
    stream
        .write_all(&[&length, login.as_slice()].concat())
        .unwrap();
    let mut welcome = [0; 4096];
    let mut arrived = 0;
    while !welcome[..arrived].ends_with(b"Z\0\0\0\x05I") {
        arrived += stream.read(&mut welcome[arrived..]).unwrap();
    }
    stream.write_all(&query).unwrap();
    let length = stream.read(&mut welcome).unwrap();
    let mut group = criterion.benchmark_group("loopback");
    group.bench_function("through_pg", |b| {
        b.iter(|| round_trip(&mut stream, &query, length));
    });
    let mut stream = TcpStream::connect(fixed_responder(length)).unwrap();
    stream.set_nodelay(true).unwrap();
    group.bench_function("baseline", |b| {
        b.iter(|| round_trip(&mut stream, &query, length));
    });
    group.finish();
}

criterion_group!(benches, classify, batch, answers, tokens, loopback);
criterion_main!(benches);
