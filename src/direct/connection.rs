//! One connection to a database, and the state that it is known to have there.

use crate::clock::{Span, Time};
use crate::direct::adapter::{Adapter, Garbled, Stream, Wire};
use crate::direct::config::Database;
use crate::direct::session::{Shape, Values};
use crate::direct::statement::{Answer, Code, End, Order, Query, State};
use crate::types::{OrganisationId, Position};
use bytes::BytesMut;
use futures_util::FutureExt;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Buffer space reserved for each read; a usual answer fits.
const READ_SIZE: usize = 1024;

/// The most statements prepared on one connection before all are discarded.
const MAX_SHAPES: usize = 256;

/// Why an exchange with a database was not completed.
#[derive(Debug, thiserror::Error)]
pub enum Lost {
    /// The connection broke, or the answer was cut off.
    #[error("the connection to the database broke: {0}")]
    Broken(#[from] std::io::Error),
    /// The database violated the protocol.
    #[error("the database's answer is not understood: {0}")]
    Garbled(#[from] Garbled),
    /// No answer arrived in time.
    #[error("the database did not answer in time")]
    Silent,
}

/// Why a connection was not opened.
#[derive(Debug, thiserror::Error)]
pub enum Closed {
    /// The database refused the connection.
    #[error("the database refused the connection: {0:?}")]
    Refused(Code),
    /// The database was not reached.
    #[error(transparent)]
    Lost(#[from] Lost),
}

/// A connection to a database.
pub struct Connection {
    wire: Wire,
    /// The organisation on whose behalf it was opened; it is not used for any other.
    organisation: Option<OrganisationId>,
    stream: Box<dyn Stream>,
    input: BytesMut,
    values: Values,
    shapes: BTreeMap<Rc<Shape>, u32>,
    /// The number of answers that are still outstanding.
    owed: u32,
    state: State,
    /// When it was opened.
    pub opened: Time,
    /// When it was last returned to the pool.
    pub used: Time,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("owed", &self.owed)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl Connection {
    /// Opens a session at a database within `span`.
    ///
    /// Fails with [`Closed`] if the database refuses it, is not reached or does not answer in time.
    pub async fn open(
        adapter: &Adapter,
        database: &Database,
        organisation: Option<&OrganisationId>,
        span: Span,
    ) -> Result<Self, Closed> {
        let started = Self::start(adapter, database, organisation, span);
        match tokio::time::timeout(span.into(), started).await {
            Ok(result) => result,
            Err(_) => Err(Lost::Silent.into()),
        }
    }

    async fn start(
        adapter: &Adapter,
        database: &Database,
        organisation: Option<&OrganisationId>,
        span: Span,
    ) -> Result<Self, Closed> {
        let connect = (adapter.connect)(database.address, span);
        let stream = connect.await.map_err(Lost::from)?;
        let now = (adapter.clock)();
        let mut connection = Self {
            wire: adapter.wire,
            organisation: organisation.cloned(),
            stream,
            input: BytesMut::new(),
            values: BTreeMap::new(),
            shapes: BTreeMap::new(),
            owed: 1,
            state: State::Idle,
            opened: now,
            used: now,
        };
        let mut output = BytesMut::new();
        let (group, id) = (&database.group, &database.id);
        (adapter.wire.write_start)(&mut output, group, id, organisation);
        connection.write(&output).await?;
        let answer = connection.read(true).await?;
        match answer.end {
            End::Done(_) => Ok(connection),
            End::Error { code, .. } => Err(Closed::Refused(code)),
        }
    }

    /// Whether every answer has been received, and no other input.
    pub fn is_settled(&self) -> bool {
        self.owed == 0 && self.input.is_empty()
    }

    /// Whether it may be used by another session.
    pub fn is_clean(&self) -> bool {
        self.is_settled() && self.state == State::Idle
    }

    /// Whether an idle connection is still open and has received no unexpected input.
    pub fn is_alive(&mut self) -> bool {
        self.input.reserve(1);
        let nothing_came = self
            .stream
            .read_buf(&mut self.input)
            .now_or_never()
            .is_none();
        nothing_came && self.is_clean()
    }

    /// The organisation on whose behalf it was opened.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        self.organisation.as_ref()
    }

    /// How many of the `wanted` values it has, or none if it has a value that `wanted` lacks.
    pub fn fit(&self, wanted: &Values) -> Option<usize> {
        let fits = |name| wanted.contains_key(name);
        self.values.keys().all(fits).then_some(())?;
        let values = self.values.iter();
        let same = values.filter(|(name, value)| wanted.get(*name) == Some(*value));
        Some(same.count())
    }

    /// Sets a session's values, and then opens a transaction if there is `begin`. Returns the error code
    /// if the database refuses that; no statement of a caller has run then.
    pub async fn prepare(
        &mut self,
        wanted: &Values,
        begin: Option<&Order>,
    ) -> Result<Option<Code>, Lost> {
        let mut output = BytesMut::new();
        let mut orders = 0;
        let mut order = |order: &Order| {
            (self.wire.write_order)(&mut output, order);
            orders += 1;
        };
        let foreign = |name| !wanted.contains_key(name);
        let full = self.state == State::Idle && self.shapes.len() >= MAX_SHAPES;
        if full || self.values.keys().any(foreign) {
            order(&Order::Reset);
            self.values.clear();
            self.shapes.clear();
        }
        for (name, value) in wanted {
            if self.values.get(name) == Some(value) {
                continue;
            }
            order(&Order::Set {
                name: name.clone(),
                value: value.clone(),
            });
            self.values.insert(name.clone(), value.clone());
        }
        if let Some(begin) = begin {
            order(begin);
        }
        if orders == 0 {
            return Ok(None);
        }
        self.owed += orders;
        self.write(&output).await?;
        let settings = orders - u32::from(begin.is_some());
        for _ in 0..settings {
            let answer = self.read(false).await?;
            if answer.end != End::Done(None) {
                return Err(Garbled::Unclear("a session value was refused".into()).into());
            }
        }
        if begin.is_none() {
            return Ok(None);
        }
        match self.read(false).await?.end {
            End::Done(_) => Ok(None),
            End::Error { code, .. } => Ok(Some(code)),
        }
    }

    /// Runs a caller's statement, and prepares it first if needed.
    ///
    /// Both are sent in one write. If preparing fails, the database does not know the name and does
    /// not run the statement.
    pub async fn run(
        &mut self,
        query: &Query,
        shape: Option<&Rc<Shape>>,
        after: Option<Position>,
    ) -> Result<Answer, Lost> {
        let mut output = BytesMut::new();
        let mut prepares = 0;
        let name = shape.map(|shape| {
            let (number, known) = self.number(shape);
            let name = format!("p{number}");
            if !known {
                let order = Order::Prepare {
                    name: name.as_str().into(),
                    writes: shape.writes,
                    shape: shape.text.clone(),
                };
                (self.wire.write_order)(&mut output, &order);
                prepares += 1;
            }
            name
        });
        (self.wire.write_query)(&mut output, query, name.as_deref(), after);
        self.owed += prepares + 1;
        self.write(&output).await?;
        for _ in 0..prepares {
            self.read(false).await?;
        }
        let answer = self.read(false).await?;
        let forgotten = |end: &End| {
            matches!(
                end,
                End::Error {
                    code: Code::NoStatement,
                    ..
                }
            )
        };
        if forgotten(&answer.end) {
            self.shapes.clear();
        }
        Ok(answer)
    }

    /// Sends an order of the proxy and reads its answer.
    pub async fn order(&mut self, order: &Order) -> Result<Answer, Lost> {
        let mut output = BytesMut::new();
        (self.wire.write_order)(&mut output, order);
        self.owed += 1;
        self.write(&output).await?;
        self.read(false).await
    }

    /// The number of a shape on this connection, and whether it is already prepared. Names are made from
    /// numbers per connection, so that two shapes can never share a name.
    fn number(&mut self, shape: &Rc<Shape>) -> (u32, bool) {
        if let Some(number) = self.shapes.get(shape) {
            return (*number, true);
        }
        let number = self.shapes.len() as u32;
        self.shapes.insert(shape.clone(), number);
        (number, false)
    }

    async fn write(&mut self, output: &[u8]) -> Result<(), Lost> {
        self.stream.write_all(output).await?;
        Ok(self.stream.flush().await?)
    }

    async fn read(&mut self, starting: bool) -> Result<Answer, Lost> {
        loop {
            if let Some(answer) = (self.wire.read_answer)(&mut self.input, starting)? {
                self.owed -= 1;
                self.state = answer.state;
                return Ok(answer);
            }
            self.input.reserve(READ_SIZE);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                let cut = std::io::ErrorKind::UnexpectedEof;
                return Err(std::io::Error::from(cut).into());
            }
        }
    }
}
