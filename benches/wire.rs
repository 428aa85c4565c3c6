//! What one statement costs on its way in and out, by step, in processor time.

use bytes::{Bytes, BytesMut};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use lentilspoke::net::frame::{Frame, encode, kind, put, put_raw, split};
use lentilspoke::net::pg::prepared::{Library, Names};
use lentilspoke::net::pg::{Session, Settings, build};
use lentilspoke::net::splice::{Expect, Step, splice};
use lentilspoke::net::target::{Names as Held, rewrite};
use lentilspoke::sql::Script;
use lentilspoke::token::{Key, Token};
use lentilspoke::types::{GroupId, Offset, Position, Term};
use pgwire::messages::data::DataRow;
use pgwire::messages::extendedquery::{BindComplete, ParseComplete};
use pgwire::messages::response::CommandComplete;
use std::hint::black_box;

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
    let again = parse();
    group.bench_function("prepare_known", |b| {
        b.iter(|| build(black_box(&again), &mut session, &library, true).unwrap());
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

criterion_group!(benches, classify, batch, answers, tokens);
criterion_main!(benches);
