//! Latency and processor time of a statement through a proxy, compared with a direct connection.
//!
//! The routes alternate statement by statement, so that other load on the machine affects them
//! equally. Databases and callers are in this process, each on their own threads; a proxy's cost
//! is the processor time of its thread.

use crate::clock::Span;
use crate::process;
use crate::standin::demo::{self, Demo, PRIMARY_CALLER, Plan as DemoPlan};
use hdrhistogram::Histogram;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio_postgres::types::{ToSql, Type};
use tokio_postgres::{Client, Config, NoTls};

/// Statements of each kind that run before the measured ones.
const WARM_UP: usize = 200;

/// How long a closed loop runs before it is measured, while pools grow.
const LOOP_WARM_UP: Span = Span::from_millis(500);

/// The highest time in the histograms, in nanoseconds.
const MAX_NANOS: u64 = 60_000_000_000;

const GROUP: &str = "ledger1";
const MAJORITY_CALLER: &str = "broker";
const PROXIES: [&str; 2] = ["vm1", "vm2"];

/// The parameters of a measurement.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Number of statements of each kind and route, run one after another.
    pub statements: usize,
    /// Number of callers in a closed loop.
    pub callers: usize,
    /// How long a closed loop lasts.
    pub length: Span,
}

/// Why a measurement ended early.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The deployment did not start.
    #[error(transparent)]
    Demo(#[from] demo::Error),
    /// A statement failed.
    #[error("a statement failed: {0:?}; run again on a quieter machine")]
    Statement(#[from] tokio_postgres::Error),
    /// No database of the group is open.
    #[error("the group has no primary: run again")]
    NoPrimary,
    /// The system does not report a thread's processor time.
    #[error("the processor time of {0} is not told: this needs Linux's /proc")]
    NoProcessorTime(&'static str),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    SimpleRead,
    PreparedRead,
    WritePrimary,
    WriteMajority,
}

impl Kind {
    const ALL: [Self; 4] = [
        Self::SimpleRead,
        Self::PreparedRead,
        Self::WritePrimary,
        Self::WriteMajority,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::SimpleRead => "simple read",
            Self::PreparedRead => "prepared read",
            Self::WritePrimary => "write, primary",
            Self::WriteMajority => "write, majority",
        }
    }

    fn caller(self) -> &'static str {
        match self {
            Self::WritePrimary => PRIMARY_CALLER,
            _ => MAJORITY_CALLER,
        }
    }
}

/// A route of statements to the database, and the address where it begins.
#[derive(Debug, Clone, Copy)]
struct Route {
    name: &'static str,
    address: SocketAddr,
}

/// One connection, with its prepared read.
struct Caller {
    client: Client,
    read: tokio_postgres::Statement,
    number: u64,
    statements: u64,
}

impl Caller {
    async fn connect(address: SocketAddr, kind: Kind, number: u64) -> Result<Self, Error> {
        let mut config = Config::new();
        config.host(address.ip().to_string()).port(address.port());
        config.user(kind.caller()).dbname(GROUP);
        let (client, connection) = config.connect(NoTls).await?;
        actix_rt::spawn(async move {
            // The client reports the end of the connection.
            let _ = connection.await;
        });
        let read = client
            .prepare_typed("SELECT body FROM ledger WHERE id = $1", &[Type::TEXT])
            .await?;
        Ok(Self {
            client,
            read,
            number,
            statements: 0,
        })
    }

    async fn run(&mut self, kind: Kind) -> Result<(), Error> {
        self.statements += 1;
        match kind {
            Kind::SimpleRead => {
                let sql = "SELECT body FROM ledger WHERE id = 'none'";
                self.client.simple_query(sql).await?;
            }
            Kind::PreparedRead => {
                let params: [&(dyn ToSql + Sync); 1] = [&"none"];
                self.client.query(&self.read, &params).await?;
            }
            Kind::WritePrimary | Kind::WriteMajority => {
                let (number, count) = (self.number, self.statements);
                let sql = format!("INSERT INTO ledger VALUES ('{number}-{count}', 'copper')");
                self.client.simple_query(&sql).await?;
            }
        }
        Ok(())
    }
}

/// Measures all kinds of statement and passes each row of the report to `print`.
pub async fn run(plan: &Plan, print: impl Fn(String)) -> Result<(), Error> {
    let demo = ideal(PROXIES.len() as u8).await?;
    let measured = measure(&demo, plan, print).await;
    demo.stop();
    measured
}

/// Starts an ideal deployment.
pub(super) async fn ideal(proxies: u8) -> Result<Demo, demo::Error> {
    demo::start(&DemoPlan {
        ideal: true,
        ..DemoPlan::on_free_ports(proxies)
    })
    .await
}

async fn measure(demo: &Demo, plan: &Plan, print: impl Fn(String)) -> Result<(), Error> {
    let routes = routes(demo)?;
    let numbers = Cell::new(0);
    let number = || {
        numbers.set(numbers.get() + 1);
        numbers.get()
    };
    print("one after another    | way       |  p50 us   p99 us | added p50  added p99".into());
    for kind in Kind::ALL {
        let mut callers = Vec::new();
        for route in &routes {
            callers.push(Caller::connect(route.address, kind, number()).await?);
        }
        let times = run_alternating(&mut callers, kind, plan.statements).await?;
        for row in comparison_rows(kind, &routes, &times) {
            print(row);
        }
    }
    print(format!(
        "{:2} callers at once   | way       | statements/s | us/statement vm1 vm2 | statements/s a core vm1 vm2",
        plan.callers
    ));
    for kind in Kind::ALL {
        for route in &routes {
            let mut callers = Vec::new();
            for _ in 0..plan.callers {
                callers.push(Caller::connect(route.address, kind, number()).await?);
            }
            closed_loop(&mut callers, kind, LOOP_WARM_UP).await?;
            let row = closed_loop(&mut callers, kind, plan.length).await?;
            print(format!("{:20} | {:9} | {row}", kind.name(), route.name));
        }
    }
    Ok(())
}

fn routes(demo: &Demo) -> Result<Vec<Route>, Error> {
    let group = demo.groups().iter().find(|(id, _)| id.as_str() == GROUP);
    let (_, handle) = group.ok_or(Error::NoPrimary)?;
    let primary = handle.primary().and_then(|id| handle.address(&id));
    let direct = primary.ok_or(Error::NoPrimary)?;
    let proxies = demo.callers();
    let route = |(name, address)| Route { name, address };
    let addresses = std::iter::once(direct).chain(proxies);
    let names = ["direct", "local", "forwarded"];
    Ok(names.into_iter().zip(addresses).map(route).collect())
}

async fn run_alternating(
    callers: &mut [Caller],
    kind: Kind,
    statements: usize,
) -> Result<Vec<Histogram<u64>>, Error> {
    // These bounds are valid, so each caller gets a histogram.
    let mut times: Vec<Histogram<u64>> = (0..callers.len())
        .filter_map(|_| Histogram::new_with_bounds(1, MAX_NANOS, 3).ok())
        .collect();
    for round in 0..WARM_UP + statements {
        for (caller, times) in callers.iter_mut().zip(&mut times) {
            let started = Instant::now();
            caller.run(kind).await?;
            let took = started.elapsed();
            if round >= WARM_UP {
                times.saturating_record(took.as_nanos() as u64);
            }
        }
    }
    Ok(times)
}

fn comparison_rows(kind: Kind, routes: &[Route], times: &[Histogram<u64>]) -> Vec<String> {
    let micros = |times: &Histogram<u64>, share| times.value_at_quantile(share) as f64 / 1e3;
    let row = |(route, time): (&Route, &Histogram<u64>)| {
        let (p50, p99) = (micros(time, 0.5), micros(time, 0.99));
        let direct = times.first().unwrap_or(time);
        let (direct_p50, direct_p99) = (micros(direct, 0.5), micros(direct, 0.99));
        format!(
            "{:20} | {:9} | {p50:7.1} {p99:8.1} | {:9.1} {:10.1}",
            kind.name(),
            route.name,
            p50 - direct_p50,
            p99 - direct_p99,
        )
    };
    routes.iter().zip(times).map(row).collect()
}

async fn closed_loop(callers: &mut [Caller], kind: Kind, length: Span) -> Result<String, Error> {
    let done = Rc::new(Cell::new(0_u64));
    let before = processor()?;
    let started = Instant::now();
    let until = started + Duration::from(length);
    let run = |caller| {
        let done: Rc<Cell<u64>> = Rc::clone(&done);
        async move {
            let caller: &mut Caller = caller;
            while Instant::now() < until {
                caller.run(kind).await?;
                done.set(done.get() + 1);
            }
            Ok::<_, Error>(())
        }
    };
    futures_util::future::try_join_all(callers.iter_mut().map(run)).await?;
    let rate = done.get() as f64 / started.elapsed().as_secs_f64();
    let after = processor()?;
    let cost = |index: usize| {
        let spent: Duration = after[index].saturating_sub(before[index]);
        spent.as_secs_f64() * 1e6 / done.get() as f64
    };
    let (first, second) = (cost(0), cost(1));
    Ok(format!(
        "{rate:12.0} | {first:16.1} {second:3.1} | {:>23} {}",
        per_core(first),
        per_core(second)
    ))
}

/// Statements per second on one core at `micros` each; below the limit the proxy only sends probes.
fn per_core(micros: f64) -> String {
    const IDLE_MICROS: f64 = 5.0;
    match micros {
        ..IDLE_MICROS => "-".into(),
        _ => format!("{:.0}", 1e6 / micros),
    }
}

fn processor() -> Result<[Duration; 2], Error> {
    let thread = |name| process::thread(name).ok_or(Error::NoProcessorTime(name));
    Ok([thread(PROXIES[0])?, thread(PROXIES[1])?])
}
