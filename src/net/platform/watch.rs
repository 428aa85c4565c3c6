//! Polls the configuration and the VM list at low cost.
//!
//! Load: 580 VMs make two calls every two seconds, which is 580 small reads a second of the 2,000
//! that the platform serves. An answer without changes is a few bytes. After a failure the pause
//! doubles, up to ten seconds. Without this backoff and the jitter, all VMs would call at once when
//! the platform returns, and overload it again.

use super::{Client, Error, Listed, jittered};
use crate::clock::Span;
use crate::config::Accepted;
use crate::types::Version;

/// How often the platform is polled.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// The pause between two polls.
    pub poll: Span,
    /// The longest pause while the platform does not answer.
    pub longest: Span,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            poll: Span::from_secs(2),
            longest: Span::from_secs(10),
        }
    }
}

/// A change that polling found.
#[derive(Debug)]
pub enum Event {
    /// A newer configuration.
    Config(Accepted),
    /// A newer list of VMs.
    Members(Listed),
    /// The platform stopped answering.
    Lost(Error),
    /// The platform answers again.
    Back,
}

/// Polls until it is dropped, and reports changes to `notify`. `version` returns the known version of
/// the configuration, which may have come from a peer.
pub async fn run(
    client: &Client,
    pace: Pace,
    version: impl Fn() -> Version,
    mut notify: impl FnMut(Event),
) {
    let mut list = Version(0);
    let mut pause = pace.poll;
    let mut lost = false;
    loop {
        match poll_once(client, version(), &mut list, &mut notify).await {
            Ok(()) => {
                if std::mem::take(&mut lost) {
                    notify(Event::Back);
                }
                pause = pace.poll;
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    notify(Event::Lost(error));
                }
                pause = pause.percent(200).min(pace.longest);
            }
        }
        tokio::time::sleep(jittered(pause)).await;
    }
}

async fn poll_once(
    client: &Client,
    known: Version,
    list: &mut Version,
    notify: &mut impl FnMut(Event),
) -> Result<(), Error> {
    let config = client.config(known).await;
    let members = client.members(*list).await;
    if let Some(listed) = members? {
        *list = listed.version;
        notify(Event::Members(listed));
    }
    if let Some(accepted) = config? {
        notify(Event::Config(accepted));
    }
    Ok(())
}
