//! Serves the fake database of `fake` on a socket, with terms and request keys.

use super::{Session, error};
use bytes::{Bytes, BytesMut};
use lentilspoke::core::database::{Order, Refusal, State};
use lentilspoke::core::lineage::Lineage;
use lentilspoke::core::request::Status;
use lentilspoke::net::dialect::{Mark, Statement, encode_refusal, encode_state};
use lentilspoke::net::frame::{Frame, kind, put, put_raw, take};
use lentilspoke::types::{Offset, Position, Term};
use pgwire::error::ErrorInfo;
use pgwire::messages::data::DataRow;
use pgwire::messages::response::{CommandComplete, ErrorResponse};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A database's state and faults.
#[derive(Debug, Default)]
pub struct Database {
    pub term: u64,
    pub position: u64,
    /// The request keys, each with its work and its answer.
    pub rows: HashMap<String, (String, Option<String>)>,
    /// The statements run on all connections, in order.
    pub log: Vec<String>,
    /// The number of connections accepted.
    pub accepted: usize,
    pub cancels: usize,
    /// Whether logins are refused because all connections are in use.
    pub full: bool,
    /// Whether all answers are suppressed.
    pub silent: bool,
    /// An unsolicited answer that is sent once, directly after the next ReadyForQuery.
    pub stray: Option<Bytes>,
}

pub async fn start() -> (Rc<RefCell<Database>>, SocketAddr) {
    let database = Rc::new(RefCell::new(Database {
        term: 1,
        ..Database::default()
    }));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shared = Rc::clone(&database);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection = Connection {
                stream,
                database: Rc::clone(&shared),
                session: Session {
                    strict: true,
                    ..Session::default()
                },
                declared: None,
                wrote: false,
                skipping: false,
            };
            actix_rt::spawn(connection.serve());
        }
    });
    (database, address)
}

struct Connection {
    stream: TcpStream,
    database: Rc<RefCell<Database>>,
    session: Session,
    declared: Option<Term>,
    wrote: bool,
    skipping: bool,
}

impl Connection {
    async fn serve(mut self) {
        let length = self.stream.read_u32().await.unwrap();
        let mut startup = vec![0; length as usize - 4];
        self.stream.read_exact(&mut startup).await.unwrap();
        self.database.borrow_mut().accepted += 1;
        if startup.len() == 12 {
            self.database.borrow_mut().cancels += 1;
            return;
        }
        let mut out = BytesMut::new();
        if self.database.borrow().full {
            put(&mut out, &error("53300"));
            let _ = self.stream.write_all(&out).await;
            return;
        }
        put_raw(&mut out, kind::AUTHENTICATION, &[&[0, 0, 0, 0]]);
        put_raw(&mut out, kind::KEY_DATA, &[&[0, 0, 0, 1, 0, 0, 0, 2]]);
        self.ready(&mut out);
        let mut buffer = BytesMut::new();
        loop {
            if !self.database.borrow().silent && self.stream.write_all(&out).await.is_err() {
                return;
            }
            out.clear();
            while let Some(frame) = take(&mut buffer, 1 << 26).unwrap() {
                self.take(&frame, &mut out);
            }
            if out.is_empty() && self.stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                return;
            }
        }
    }

    fn take(&mut self, frame: &Frame, out: &mut BytesMut) {
        match frame.kind() {
            kind::SYNC => {
                self.skipping = false;
                self.ready(out);
            }
            _ if self.skipping => {}
            kind::QUERY => {
                let text = frame.fields().text().unwrap().to_owned();
                if !self.query(&text, frame, out) && self.session.status == Status::Open {
                    self.session.status = Status::Failed;
                }
                self.ready(out);
            }
            _ => self.skipping = !self.step(frame, out),
        }
    }

    /// Handles a message of the extended protocol or an ordinary query; false if it fails.
    fn step(&mut self, frame: &Frame, out: &mut BytesMut) -> bool {
        let term = Term(self.database.borrow().term);
        if self.declared.is_some_and(|declared| declared != term) {
            put(out, &refusal(Refusal::Term(term)));
            return false;
        }
        let before = self.session.log.len();
        let done = self.session.step(frame, out);
        let log: Vec<String> = self.session.log[before..].to_vec();
        self.wrote |= done && log.iter().any(|text| text.starts_with("INSERT"));
        self.database.borrow_mut().log.extend(log);
        done
    }

    fn query(&mut self, text: &str, frame: &Frame, out: &mut BytesMut) -> bool {
        if let Ok(statement) = text.parse::<Statement>() {
            return self.statement(statement, out);
        }
        let quoted: Vec<&str> = text.split('\'').skip(1).step_by(2).collect();
        let mut database = self.database.borrow_mut();
        if text.contains("INSERT INTO lentilspoke_requests") {
            put(out, &CommandComplete::new("BEGIN".into()));
            self.session.status = Status::Open;
            let key = quoted[..2].join("/");
            if database.rows.contains_key(&key) {
                put(out, &error("23505"));
                return false;
            }
            database.rows.insert(key, (quoted[2].to_owned(), None));
            put(out, &CommandComplete::new("INSERT 0 1".into()));
            return true;
        }
        if text.starts_with("UPDATE lentilspoke_requests") {
            let data_row = database.rows.get_mut(&quoted[1..].join("/")).unwrap();
            data_row.1 = Some(quoted[0].to_owned());
            self.session.status = Status::Idle;
            self.wrote = true;
            put(out, &CommandComplete::new("COMMIT".into()));
            return true;
        }
        if text.starts_with("SELECT work, answer") {
            let (work, answer) = database.rows[&quoted.join("/")].clone();
            put(out, &data_row(&[&work, &answer.unwrap()]));
            put(out, &CommandComplete::new("SELECT 1".into()));
            return true;
        }
        drop(database);
        self.step(frame, out)
    }

    fn statement(&mut self, statement: Statement, out: &mut BytesMut) -> bool {
        let mut database = self.database.borrow_mut();
        match statement {
            Statement::Term(term) => self.declared = term,
            Statement::Order(Order::Raise(term)) if term.0 <= database.term => {
                put(out, &refusal(Refusal::Term(Term(database.term))));
                return false;
            }
            Statement::Order(order) => {
                if let Order::Raise(term) = order {
                    database.term = term.0;
                }
                let position = Position::new(Term(1), Offset(database.position));
                let state = State {
                    term: Term(database.term),
                    position,
                    applied: position,
                    open: true,
                    lineage: Lineage::default(),
                };
                put(out, &data_row(&[&encode_state(&state)]));
            }
        }
        put(out, &CommandComplete::new("LENTIL".into()));
        true
    }

    fn ready(&mut self, out: &mut BytesMut) {
        let mut database = self.database.borrow_mut();
        let status = self.session.status;
        if std::mem::take(&mut self.wrote) && status == Status::Idle {
            database.position += 1;
            mark(Mark::Wrote, database.position, out);
        }
        mark(Mark::Applied, database.position, out);
        let byte = match status {
            Status::Idle => b'I',
            Status::Open => b'T',
            Status::Failed => b'E',
        };
        put_raw(out, kind::READY, &[&[byte]]);
        if let Some(stray) = database.stray.take() {
            out.extend_from_slice(&stray);
        }
    }
}

fn mark(mark: fn(Position) -> Mark, offset: u64, out: &mut BytesMut) {
    let (name, value) = mark(Position::new(Term(1), Offset(offset))).parameter();
    let parts = [name.as_bytes(), &[0], value.as_bytes(), &[0]];
    put_raw(out, kind::PARAMETER, &parts);
}

fn refusal(refusal: Refusal) -> ErrorResponse {
    let fault = encode_refusal(refusal);
    let mut info = ErrorInfo::new("ERROR".into(), fault.code.into(), fault.message.into());
    info.detail = fault.detail.map(String::from);
    info.into()
}

fn data_row(values: &[&str]) -> DataRow {
    let mut data = BytesMut::new();
    for value in values {
        data.extend_from_slice(&(value.len() as u32).to_be_bytes());
        data.extend_from_slice(value.as_bytes());
    }
    DataRow::new(data, values.len() as i16)
}
