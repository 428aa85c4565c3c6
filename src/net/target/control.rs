//! Control connections, which carry orders about terms.
//!
//! Orders are pipelined and answered in order. An order that is not answered by its deadline
//! fails, and so do all orders queued behind it, because the connection may never answer again;
//! the next order opens a new connection.

use super::wire::{Answer, Broken, Endpoints, Wire, query};
use crate::core::database::{Event, Order, Refusal, State};
use crate::net::dialect::{self, Statement};
use crate::net::frame::{Malformed, kind};
use crate::types::RequestId;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

/// How long an order may take, including the connect. It is well below the time after which a
/// primary is suspected (1 s), so that an unresponsive connection is replaced before that.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an order to wait for a position may take. Databases stop waiting earlier.
const REACH_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is kept without an order.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// An order and its deadline.
#[derive(Debug)]
pub(super) struct Request {
    id: RequestId,
    order: Order,
    deadline: Instant,
}

impl Request {
    /// An order whose deadline counts from now.
    pub fn new(id: RequestId, order: Order) -> Self {
        let limit = match order {
            Order::Reach(_) => REACH_TIMEOUT,
            _ => ORDER_TIMEOUT,
        };
        Self {
            id,
            order,
            deadline: Instant::now() + limit,
        }
    }
}

/// Sends orders until none has arrived for [`IDLE_TIMEOUT`].
pub(super) async fn serve(
    endpoints: Endpoints,
    mut orders: UnboundedReceiver<Request>,
    events: UnboundedSender<Event>,
) {
    while let Ok(Some(first)) = tokio::time::timeout(IDLE_TIMEOUT, orders.recv()).await {
        let mut pending = VecDeque::from([first]);
        if let Err(error) = run_connection(&endpoints, &mut orders, &mut pending, &events).await {
            log::info!(database:% = endpoints.database, error:%; "a control connection failed");
        }
        for request in pending {
            report(&events, request.id, None);
        }
    }
    // Orders that arrived while the task was ending are answered as failed.
    orders.close();
    while let Some(request) = orders.recv().await {
        report(&events, request.id, None);
    }
}

fn report(events: &UnboundedSender<Event>, id: RequestId, result: Option<Result<State, Refusal>>) {
    let _ = events.send(Event::Controlled { id, result });
}

/// Opens a connection, sends pending and new orders and receives their answers, until the
/// connection fails or has been idle for [`IDLE_TIMEOUT`].
async fn run_connection(
    endpoints: &Endpoints,
    orders: &mut UnboundedReceiver<Request>,
    pending: &mut VecDeque<Request>,
    events: &UnboundedSender<Event>,
) -> Result<(), Broken> {
    let opening = Wire::open(endpoints, dialect::CONTROL_USER);
    let mut wire = tokio::time::timeout_at(deadline(pending), opening).await??;
    for request in pending.iter() {
        wire.send(&text(request));
    }
    let mut answer = Answer::default();
    loop {
        tokio::select! {
            order = orders.recv() => {
                let Some(request) = order else {
                    return Ok(());
                };
                let text = text(&request);
                pending.push_back(request);
                wire.send(&text);
            }
            frame = wire.frame() => {
                if !answer.take(frame?)? {
                    continue;
                }
                let answer = std::mem::take(&mut answer);
                let result = result(&answer)?;
                let request = pending.pop_front().ok_or(Malformed::Order)?;
                report(events, request.id, result);
            }
            () = tokio::time::sleep_until(deadline(pending)) => {
                if pending.is_empty() {
                    return Ok(());
                }
                return Err(Broken::Timeout);
            }
        }
    }
}

/// When the connection is abandoned: at the deadline of the first pending order, or when idle.
fn deadline(pending: &VecDeque<Request>) -> Instant {
    let first = pending.front().map(|request| request.deadline);
    first.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT)
}

fn text(request: &Request) -> BytesMut {
    let mut out = BytesMut::new();
    query(&mut out, &Statement::Order(request.order).to_string());
    out
}

/// The database's answer to an order; `None` for an error that is not a [`Refusal`].
fn result(answer: &Answer) -> Result<Option<Result<State, Refusal>>, Broken> {
    if let Some(error) = answer.error()? {
        let refusal = dialect::decode_refusal(&error.code, error.detail.as_deref());
        return Ok(refusal.map(Err));
    }
    let row = answer
        .frames
        .iter()
        .find(|frame| frame.kind() == kind::DATA_ROW);
    let mut fields = row.ok_or(Malformed::Order)?.fields();
    fields.short()?;
    let value = fields.value()?.ok_or(Malformed::Field)?;
    let text = std::str::from_utf8(value).map_err(|_| Malformed::Field)?;
    Ok(Some(Ok(dialect::decode_state(text)?)))
}
