//! A server that stands in for the store and the cloud, and answers calls by a script.

use lentilspoke::clock::Time;
use lentilspoke::direct::adapter::{Clock, Connect, Stream};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// How the server handles one call.
#[derive(Debug, Clone)]
pub enum Step {
    /// It sends this status and body, and the connection stays open.
    Answer(u16, &'static str),
    /// It sends this status and body, then closes the connection.
    Last(u16, &'static str),
    /// It sends this body in quarters, with a pause before each.
    Slow(&'static str, Duration),
    /// It closes the connection in the middle of the body.
    Cut,
    /// It sends nothing, and the connection stays open.
    Silent,
    /// It closes the connection after reading the call.
    Close,
}

/// A scripted server.
#[derive(Default)]
pub struct Script {
    steps: RefCell<VecDeque<Step>>,
    /// The calls received: request line, headers except host and length, and body.
    pub seen: RefCell<Vec<String>>,
    /// How many connections were opened.
    pub opened: Cell<u32>,
    /// Whether connections are refused.
    pub down: Cell<bool>,
}

impl Script {
    /// Creates a server that handles one call by each step.
    pub fn new(steps: impl IntoIterator<Item = Step>) -> Rc<Self> {
        let script = Self::default();
        script.steps.borrow_mut().extend(steps);
        Rc::new(script)
    }

    /// Returns the function that opens connections to it.
    pub fn connect(self: &Rc<Self>) -> Connect {
        let script = Rc::clone(self);
        Rc::new(move |_, _| {
            let script = Rc::clone(&script);
            Box::pin(async move {
                if script.down.get() {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                script.opened.set(script.opened.get() + 1);
                let (near, far) = tokio::io::duplex(1 << 16);
                actix_rt::spawn(async move { script.serve(far).await });
                Ok(Box::new(near) as Box<dyn Stream>)
            })
        })
    }

    async fn serve(&self, mut stream: DuplexStream) -> Option<()> {
        loop {
            let call = read(&mut stream).await?;
            self.seen.borrow_mut().push(call);
            let step = self.steps.borrow_mut().pop_front()?;
            let (status, body) = match step {
                Step::Answer(status, body) | Step::Last(status, body) => (status, body),
                Step::Slow(body, pause) => {
                    write_in_quarters(&mut stream, body, pause).await?;
                    continue;
                }
                Step::Cut => (200, "{\"row_version\":9"),
                Step::Silent => return std::future::pending().await,
                Step::Close => return None,
            };
            let length = body.len() + usize::from(matches!(step, Step::Cut)) * 9;
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n{body}");
            stream.write_all(head.as_bytes()).await.ok()?;
            if matches!(step, Step::Last(..) | Step::Cut) {
                return None;
            }
        }
    }
}

/// Reads one call: the head, and a body of the length in its header.
async fn read(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        bytes.push(stream.read_u8().await.ok()?);
        if bytes.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(bytes).ok()?;
    let mut kept = Vec::new();
    let mut length = 0;
    for line in head.trim_end().split("\r\n") {
        let lower = line.to_lowercase();
        if let Some(value) = lower.strip_prefix("content-length: ") {
            length = value.parse().ok()?;
        } else if !lower.starts_with("host: ") {
            kept.push(line.to_owned());
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    kept.push(String::from_utf8(body).ok()?);
    Some(kept.join("\n").trim_end().to_owned())
}

/// Returns a clock that follows virtual time, and the offset that moves it ahead as a pause of the VM
/// does.
pub fn clock() -> (Clock, Rc<Cell<Duration>>) {
    let offset = Rc::new(Cell::new(Duration::ZERO));
    let origin = tokio::time::Instant::now();
    let added = Rc::clone(&offset);
    let clock = move || {
        let elapsed = origin.elapsed() + added.get();
        Time(u64::try_from(elapsed.as_micros()).unwrap())
    };
    (Rc::new(clock), offset)
}

async fn write_in_quarters(stream: &mut DuplexStream, body: &str, pause: Duration) -> Option<()> {
    let head = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).await.ok()?;
    for quarter in body.as_bytes().chunks(body.len().div_ceil(4)) {
        tokio::time::sleep(pause).await;
        stream.write_all(quarter).await.ok()?;
    }
    Some(())
}
