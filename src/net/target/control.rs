//! Connections for orders about terms.
//!
//! Orders are sent as they come, without waiting for earlier answers, and answered in order. An
//! order that is not answered by its deadline fails, and so do all behind it, because the
//! connection may have gone silent for good; the next order opens a new one.

use super::wire::{Answer, Broken, End, Wire, query};
use crate::core::database::{Event, Order, Refusal, State};
use crate::net::dialect::{self, Statement};
use crate::net::frame::{Malformed, kind};
use crate::types::RequestId;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::Instant;

/// How long an order may take, its connection included. Well below the time after which a
/// primary is suspected (1 s), so that a connection gone silent is replaced before.
const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// How long an order to wait for a position may take. Databases tire before.
const WAIT_LIMIT: Duration = Duration::from_secs(10);
/// How long a connection is kept without an order.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// An order and its deadline.
#[derive(Debug)]
pub(super) struct Request {
    id: RequestId,
    order: Order,
    deadline: Instant,
}

impl Request {
    /// An order that is given now.
    pub fn new(id: RequestId, order: Order) -> Self {
        let limit = match order {
            Order::Reach(_) => WAIT_LIMIT,
            _ => ORDER_LIMIT,
        };
        Self {
            id,
            order,
            deadline: Instant::now() + limit,
        }
    }
}

/// Carries out orders until none has come for a while.
pub(super) async fn serve(
    end: End,
    mut orders: UnboundedReceiver<Request>,
    events: UnboundedSender<Event>,
) {
    while let Ok(Some(first)) = tokio::time::timeout(IDLE_LIMIT, orders.recv()).await {
        let mut pending = VecDeque::from([first]);
        if let Err(error) = connected(&end, &mut orders, &mut pending, &events).await {
            log::info!(database:% = end.database, error:%; "a control connection failed");
        }
        for request in pending {
            tell(&events, request.id, None);
        }
    }
    // Orders that came while the lane gave up are answered, not lost.
    orders.close();
    while let Some(request) = orders.recv().await {
        tell(&events, request.id, None);
    }
}

fn tell(events: &UnboundedSender<Event>, id: RequestId, result: Option<Result<State, Refusal>>) {
    let _ = events.send(Event::Controlled { id, result });
}

/// Opens a connection, sends the orders that are pending and those that come, and hears the
/// answers, until the connection fails or has been idle for long.
async fn connected(
    end: &End,
    orders: &mut UnboundedReceiver<Request>,
    pending: &mut VecDeque<Request>,
    events: &UnboundedSender<Event>,
) -> Result<(), Broken> {
    let opening = Wire::open(end, dialect::CONTROL_USER);
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
                tell(events, request.id, result);
            }
            () = tokio::time::sleep_until(deadline(pending)) => {
                if pending.is_empty() {
                    return Ok(());
                }
                return Err(Broken::Late);
            }
        }
    }
}

/// When the connection is given up: with the first order pending, or for being idle.
fn deadline(pending: &VecDeque<Request>) -> Instant {
    let first = pending.front().map(|request| request.deadline);
    first.unwrap_or_else(|| Instant::now() + IDLE_LIMIT)
}

fn text(request: &Request) -> BytesMut {
    let mut out = BytesMut::new();
    query(&mut out, &Statement::Order(request.order).to_string());
    out
}

/// What a database said to an order; `None` if it failed in a way that says nothing of terms.
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
