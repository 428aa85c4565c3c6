//! Translation of a caller's messages into batches, and parsing of startup messages.

use bytes::{Bytes, BytesMut};
use lentilspoke::net::frame::{self, Frame, kind, put_raw, split};
use lentilspoke::net::pg::prepared::{Cache, Names};
use lentilspoke::net::pg::{Session, Settings, build, kind as kind_of, startup};
use lentilspoke::net::splice::Step;
use quickcheck::quickcheck;

const ZERO: &[u8] = &[0];

#[derive(Default)]
struct Messages(BytesMut);

impl Messages {
    fn add(mut self, kind: u8, parts: &[&[u8]]) -> Self {
        put_raw(&mut self.0, kind, parts);
        self
    }

    fn parse(self, name: &str, text: &str) -> Self {
        let parts = [name.as_bytes(), ZERO, text.as_bytes(), ZERO, &[0, 0]];
        self.add(kind::PARSE, &parts)
    }

    fn bind(self, portal: &str, name: &str) -> Self {
        let parts = [portal.as_bytes(), ZERO, name.as_bytes(), ZERO, &[0; 6]];
        self.add(kind::BIND, &parts)
    }

    fn describe(self, target: u8, name: &str) -> Self {
        self.add(kind::DESCRIBE, &[&[target], name.as_bytes(), ZERO])
    }

    fn execute(self, portal: &str) -> Self {
        self.add(kind::EXECUTE, &[portal.as_bytes(), ZERO, &[0; 4]])
    }

    fn close(self, target: u8, name: &str) -> Self {
        self.add(kind::CLOSE, &[&[target], name.as_bytes(), ZERO])
    }

    fn query(self, text: &str) -> Vec<Frame> {
        frames(self.add(kind::QUERY, &[text.as_bytes(), ZERO]))
    }

    fn sync(self) -> Vec<Frame> {
        frames(self.add(kind::SYNC, &[]))
    }

    fn flush(self) -> Vec<Frame> {
        frames(self.add(kind::FLUSH, &[]))
    }
}

fn frames(messages: Messages) -> Vec<Frame> {
    split(messages.0.freeze()).unwrap()
}

fn start() -> Messages {
    Messages::default()
}

struct Caller {
    session: Session,
    cache: Cache,
    idle: bool,
}

impl Caller {
    fn new() -> Self {
        Self {
            session: Session {
                names: Names::default(),
                settings: Settings::new(None),
            },
            cache: Cache::default(),
            idle: true,
        }
    }

    /// The messages for the database, the steps of the answer, and the kind.
    fn send(&mut self, frames: &[Frame]) -> String {
        let batch = match build(frames, &mut self.session, &self.cache, self.idle) {
            Ok(batch) => batch,
            Err(fault) => return format!("{}: {fault}", fault.code()),
        };
        let sent = split(batch.body).unwrap();
        let sent: String = sent.iter().map(|frame| char::from(frame.kind())).collect();
        let steps: Vec<String> = batch.steps.iter().map(step).collect();
        let kind = kind_of(&batch.statements, self.idle);
        format!("{sent} | {} | {kind:?}", steps.join(" "))
    }
}

fn step(step: &Step) -> String {
    match step {
        Step::Pass(expect) => format!("{expect:?}"),
        Step::Drop(expect) => format!("-{expect:?}"),
        Step::Insert(bytes) => {
            let frames = split(bytes.clone()).unwrap();
            let kinds: String = frames.iter().map(|f| char::from(f.kind())).collect();
            format!("+{kinds}")
        }
    }
}

#[test]
fn batches_include_missing_parse_messages() {
    let mut caller = Caller::new();
    let mut results = Vec::new();
    let mut send = |name: &str, frames: Vec<Frame>| {
        results.push(format!("{name}: {}", caller.send(&frames)));
    };
    send(
        "prepare",
        start().parse("s", "SELECT 1").describe(b'S', "s").sync(),
    );
    send("run prepared", start().bind("", "s").execute("").sync());
    send(
        "run twice",
        start()
            .bind("", "s")
            .execute("")
            .bind("", "s")
            .execute("")
            .sync(),
    );
    send(
        "unnamed at once",
        start()
            .parse("", "INSERT x")
            .bind("", "")
            .execute("")
            .sync(),
    );
    send(
        "unnamed in two",
        start().parse("", "SELECT 2").describe(b'S', "").sync(),
    );
    send(
        "its second half",
        start().bind("", "").describe(b'P', "").execute("").sync(),
    );
    send(
        "two kinds",
        start()
            .parse("w", "INSERT x")
            .bind("", "s")
            .execute("")
            .bind("", "w")
            .execute("")
            .sync(),
    );
    send(
        "begin and more",
        start()
            .parse("b", "BEGIN")
            .bind("", "b")
            .execute("")
            .bind("", "w")
            .execute("")
            .sync(),
    );
    send("close", start().close(b'S', "s").sync());
    send("run closed", start().bind("", "s").execute("").sync());
    send("close a portal", start().close(b'P', "p").sync());
    send(
        "own setting",
        start()
            .parse("o", "SHOW lentilspoke.session")
            .describe(b'S', "o")
            .bind("", "o")
            .execute("")
            .sync(),
    );
    send("sync alone", start().sync());
    send(
        "flush after parse",
        start().parse("f", "SELECT 1").describe(b'S', "f").flush(),
    );
    send(
        "flush after execute",
        start().bind("", "f").execute("").flush(),
    );
    send(
        "flush after begin",
        start().bind("", "b").execute("").flush(),
    );
    send("listen", start().parse("l", "LISTEN x").sync());
    send(
        "begin in one query",
        start().query("BEGIN; INSERT x; COMMIT"),
    );
    send(
        "read only in one query",
        start().query("BEGIN READ ONLY; SELECT 1; COMMIT"),
    );
    send(
        "read only, then not",
        start().query("BEGIN READ ONLY; COMMIT; INSERT x"),
    );
    send("empty", start().query(""));
    insta::assert_snapshot!(results.join("\n"), @r#"
prepare: PDS | Parse Describe | Read
run prepared: PBES | -Parse Bind Execute | Read
run twice: PBEBES | -Parse Bind Execute Bind Execute | Read
unnamed at once: PBES | Parse Bind Execute | Write
unnamed in two: PDS | Parse Describe | Read
its second half: PBDES | -Parse Bind DescribePortal Execute | Read
two kinds: PPBEBES | -Parse Parse Bind Execute Bind Execute | Write
begin and more: PPBEBES | -Parse Parse Bind Execute Bind Execute | Begin
close:  | +3 | Read
run closed: 26000: prepared statement "s" does not exist: prepare it first
close a portal:  | +3 | Read
own setting:  | +1 +tT +2 +DC | Read
sync alone:  |  | Read
flush after parse: PDS | Parse Describe | Read
flush after execute: 0A000: Flush after Execute is not supported outside a transaction: use Sync, or BEGIN
flush after begin: PBES | -Parse Bind Execute | Begin
listen: 0A000: LISTEN needs a connection of its own: connect to the database directly
begin in one query: Q | Query | Begin
read only in one query: Q | Query | BeginRead
read only, then not: Q | Query | Begin
empty:  | +I | Read
"#);
}

#[test]
fn inside_a_transaction_everything_continues() {
    let mut caller = Caller::new();
    caller.idle = false;
    let mut results = Vec::new();
    let mut send = |frames: Vec<Frame>| results.push(caller.send(&frames));
    send(
        start()
            .parse("w", "INSERT x")
            .bind("p", "w")
            .execute("p")
            .flush(),
    );
    send(start().execute("p").close(b'P', "p").sync());
    send(start().query("SET LOCAL search_path = a"));
    send(start().query("SET search_path = a"));
    send(start().query("COMMIT"));
    insta::assert_snapshot!(results.join("\n"), @r"
PBES | Parse Bind Execute | Continue
ECS | Execute Close | Continue
Q | Query | Continue
0A000: a session setting does not last on a pooled connection: use SET LOCAL in a transaction
Q | Query | Continue
");
}

/// A caller that keeps preparing statements gets an error at the limit. Statements that exist
/// already stay usable.
#[test]
fn prepared_statements_are_bounded() {
    let mut caller = Caller::new();
    let prepare = |number: usize| start().parse(&format!("s{number}"), "SELECT 1").sync();
    for number in 0..512 {
        assert!(caller.send(&prepare(number)).ends_with("Read"));
    }
    assert!(caller.send(&prepare(512)).starts_with("54000"));
    assert!(caller.send(&prepare(7)).ends_with("Read"));
    let mut caller = Caller::new();
    let long = format!("SELECT '{}'", "x".repeat(200_000));
    let results: Vec<String> = (0..6)
        .map(|number| caller.send(&start().parse(&format!("s{number}"), &long).sync()))
        .collect();
    assert!(results[5].starts_with("54000"), "{}", results[5]);
}

fn packet(bytes: &[u8]) -> String {
    let mut buffer = BytesMut::from(bytes);
    match startup::take(&mut buffer) {
        Ok(Some(packet)) => format!("{packet:?}"),
        Ok(None) => "more".to_owned(),
        Err(fault) => format!("{}: {fault}", fault.code()),
    }
}

fn login(pairs: &str) -> Vec<u8> {
    let body = [&[0, 3, 0, 0], pairs.replace('|', "\0").as_bytes(), b"\0\0"].concat();
    [&(body.len() as u32 + 4).to_be_bytes(), body.as_slice()].concat()
}

#[test]
fn logins_are_read() {
    let cases = [
        "user|broker|database|ledger1|options|-c lentilspoke.session=broker-17 --lentilspoke.max_age=5s",
        "user|broker|application_name|desk|client_encoding|UTF8|extra_float_digits|2",
        "user|broker|options|-c search_path=a",
        "user|broker|options|-x",
        "user|broker|search_path|a",
        "user|bro ker",
        "user|broker|TimeZone|Europe/Lisbon",
        "database|ledger1",
        "user|broker|_pq_.compression|on",
    ];
    let results: Vec<String> = cases.iter().map(|pairs| packet(&login(pairs))).collect();
    insta::assert_snapshot!(results.join("\n"), @r#"
Login(Login { caller: CallerId("broker"), group: GroupId("ledger1"), settings: [(Session, "broker-17"), (MaxAge, "5s")], minor: 0, unknown: [] })
Login(Login { caller: CallerId("broker"), group: GroupId("broker"), settings: [], minor: 0, unknown: [] })
08P01: startup: `search_path` can't be set on a pooled connection: leave it out
08P01: startup: options: write them as `-c NAME=VALUE`
08P01: startup: `search_path` can't be set on a pooled connection: leave it out
08P01: startup: `bro ker` is not a name: use 1 to 63 letters, digits, `-`, `_` or `.`
08P01: startup: `TimeZone` can't be set on a pooled connection: leave it out
08P01: startup: no user name: give one
Login(Login { caller: CallerId("broker"), group: GroupId("broker"), settings: [], minor: 0, unknown: ["_pq_.compression"] })
"#);
}

quickcheck! {
    fn any_packet_is_read_without_panic(bytes: Vec<u8>, length: u8) -> bool {
        let _ = packet(&bytes);
        let stated = u32::from(length).to_be_bytes();
        let _ = packet(&[&stated, &[0, 3, 0, 0], bytes.as_slice()].concat());
        let _ = packet(&login(&String::from_utf8_lossy(&bytes)));
        true
    }

    fn any_messages_are_batched_without_panic(parts: Vec<(u8, Vec<u8>)>, idle: bool) -> bool {
        const KINDS: &[u8] = b"PBDECQSHX";
        let mut messages = start();
        for (kind, body) in &parts {
            let kind = KINDS[usize::from(*kind) % KINDS.len()];
            messages = messages.add(kind, &[b"s", ZERO, body]);
        }
        let frames = frames(messages);
        let mut caller = Caller::new();
        caller.idle = idle;
        let _ = caller.send(&start().parse("s", "SELECT 1").sync());
        caller.send(&frames);
        true
    }

    fn frames_are_split_as_they_were_put(parts: Vec<(u8, Vec<u8>)>) -> bool {
        let mut out = BytesMut::new();
        for (kind, body) in &parts {
            put_raw(&mut out, *kind, &[body]);
        }
        let frames = split(out.freeze()).unwrap();
        let back = frames.iter().map(|frame| (frame.kind(), frame.fields().0.to_vec()));
        back.collect::<Vec<_>>() == parts
    }

    fn any_bytes_are_split_without_panic(bytes: Vec<u8>) -> bool {
        let _ = split(Bytes::from(bytes.clone()));
        let _ = frame::take(&mut BytesMut::from(bytes.as_slice()), 64);
        true
    }
}
