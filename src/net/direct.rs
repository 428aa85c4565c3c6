//! One VM of direct access: its listeners, its parts, and the order in which it stops.

use crate::direct::adapter::{Build, Outside};
use crate::direct::view::Shared;
use crate::net::http::{self, Reply};
use crate::net::system;
use crate::settings::{Direct, Settings};
use crate::util;
use ::http::StatusCode;
use std::rc::Rc;

/// What a process is told at its start, and how it reads that again.
pub struct Place {
    /// All settings.
    pub settings: Settings,
    /// Those of direct access.
    pub direct: Direct,
    /// Reads the settings again.
    pub read: Box<dyn Fn() -> Result<Settings, Box<str>>>,
}

impl std::fmt::Debug for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Place").finish_non_exhaustive()
    }
}

/// Runs the VM until a planned stop is over.
pub async fn run(place: Place, build: Build) -> std::io::Result<()> {
    let stop = util::asked_to_stop()?;
    let adapter = build(Outside {
        store: place.settings.platform[0],
        orders: place.direct.orders,
        connect: system::connect(false),
        abrupt: system::connect(true),
        clock: system::clock(),
    });
    let shared = Rc::new(Shared::default());
    let ready = system::listen(place.direct.ready)?;
    let view = Rc::clone(&shared);
    actix_rt::spawn(http::serve(ready, move |_| {
        let view = Rc::clone(&view);
        async move {
            let ready = view.look().config.is_some();
            Reply::new(
                if ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                },
                "",
            )
        }
    }));
    let callers = system::listen(place.settings.callers)?;
    actix_rt::spawn(async move {
        loop {
            let _ = callers.accept().await;
        }
    });
    let told = (adapter.store)(
        crate::direct::table::Ask::Read("op".into()),
        crate::clock::Span::from_secs(2),
    )
    .await;
    log::info!("read {told:?}");
    let config = adapter.documents.config.clone();
    if let Ok(crate::direct::table::Told::Rows { rows, .. }) = told {
        for row in rows {
            if row.id == config {
                let config = (adapter.documents.read_config)(&row.value.unwrap_or_default());
                log::info!("config {config:?}");
                shared.change(|view| view.config = config.ok().map(Rc::new));
            }
        }
    }
    stop.await;
    Ok(())
}
