//! Log lines: their format, their rate limit, and an output that blocks or is closed.

use lentilspoke::clock::{Span, Time};
use lentilspoke::logs::budget::{Budget, Verdict};
use lentilspoke::logs::queue::Queue;
use lentilspoke::logs::{body, line};
use std::io::Read;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LINES: usize = 20_000;
const LIMIT: usize = 4096;
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

fn dropped_line(dropped: u64) -> String {
    format!("{dropped} dropped\n")
}

/// The reader of the logs stops, so the pipe fills up and writes block. The queue still accepts lines
/// and drops those that don't fit; after the reader resumes, a line reports how many are missing. A
/// write on the serving thread would never return here.
#[test]
fn a_blocked_reader_does_not_block_the_queue() {
    let (mut reader, writer) = std::io::pipe().unwrap();
    let queue = Queue::start(writer, LIMIT, dropped_line).unwrap();
    for n in 0..LINES {
        queue.push(format!("line {n}\n").as_bytes());
    }
    let dropped = queue.dropped();
    assert!(dropped > 0, "the pipe and the queue took all lines");

    let drained = std::thread::spawn(move || {
        queue.drain(DRAIN_TIMEOUT);
        queue.push(b"end\n");
    });
    let mut text = String::new();
    let mut part = [0; 4096];
    while !text.ends_with("end\n") {
        let length = reader.read(&mut part).unwrap();
        text.push_str(std::str::from_utf8(&part[..length]).unwrap());
    }
    drained.join().unwrap();
    let written = text.lines().filter(|l| l.starts_with("line ")).count();
    let reported = text.lines().filter_map(|l| l.strip_suffix(" dropped"));
    let reported: u64 = reported.map(|n| n.parse::<u64>().unwrap()).sum();
    assert_eq!(reported, dropped);
    assert_eq!(written as u64 + reported, LINES as u64);
}

/// Some readers read only 8 KiB of a write. Each write consists of whole lines, and is no longer than
/// a pipe accepts at once, except for a single longer line.
#[test]
fn writes_are_whole_lines() {
    #[derive(Clone, Default)]
    struct Calls(Arc<Mutex<Vec<Vec<u8>>>>);
    impl std::io::Write for Calls {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0.lock().unwrap().push(bytes.to_vec());
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let calls = Calls::default();
    let queue = Queue::start(calls.clone(), 64 * 1024, dropped_line).unwrap();
    let line = "x".repeat(299) + "\n";
    let long = "y".repeat(5_000) + "\n";
    let lines = line.repeat(40) + &long + &line.repeat(20);
    queue.push(lines.as_bytes());
    queue.drain(DRAIN_TIMEOUT);
    let calls = calls.0.lock().unwrap();
    assert_eq!(calls.concat(), lines.as_bytes());
    assert!(calls.iter().all(|call| call.ends_with(b"\n")));
    let too_long = calls.iter().filter(|call| call.len() > 4096);
    assert_eq!(too_long.collect::<Vec<_>>(), [long.as_bytes()]);
}

/// The reader of the logs has closed the pipe. Lines are lost, and nothing waits for them.
#[test]
fn a_closed_pipe_does_not_block_the_queue() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let queue = Queue::start(writer, LIMIT, dropped_line).unwrap();
    queue.push(b"line\n");
    queue.drain(DRAIN_TIMEOUT);
    queue.push(b"line\n");
    queue.drain(DRAIN_TIMEOUT);
    assert_eq!(queue.dropped(), 0);
}

/// One target writes far more lines than the limit. The excess is dropped and counted, and the lines
/// of another target are all admitted.
#[test]
fn a_flood_of_one_target_does_not_affect_others() {
    let mut budget = Budget::new(3);
    let start = Time(5);
    let storm: Vec<Verdict> = (0..10).map(|_| budget.admit("refusals", start)).collect();
    assert_eq!(&storm[..3], &[Verdict::Admit; 3]);
    assert_eq!(&storm[3..], &[Verdict::Drop; 7]);
    assert_eq!(budget.admit("leads", start), Verdict::Admit);
    let later = start + Span::from_secs(1);
    assert_eq!(budget.admit("refusals", later), Verdict::AdmitAfter(7));
    assert_eq!(budget.admit("refusals", later), Verdict::Admit);
}

/// A caller chooses its request's id. Whatever characters it holds, it stays one value on one line.
#[test]
fn a_value_cannot_forge_a_line() {
    let pairs = [
        ("request", "5c0e7a21"),
        ("caller", "x\n9 INFO leads changed group=a"),
        ("empty", ""),
    ];
    let record = log::Record::builder()
        .level(log::Level::Info)
        .target("lentilspoke::direct::session")
        .key_values(&pairs)
        .args(format_args!("refused"))
        .build();
    insta::assert_snapshot!(line(Time(1_234_567), &record));
    assert!(line(Time(0), &record).ends_with(&(body(&record) + "\n")));
}
