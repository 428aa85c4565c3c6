//! Keeping up with the configuration and the VM list, cheaply.
//!
//! Load: 580 nodes ask two questions every two seconds, 580 small reads a second of the 2,000
//! that the platform serves. An answer that brings nothing new is a few bytes. After a failure
//! the pause doubles up to ten seconds; without that, and without the spread, the nodes would
//! all ask at once when the platform returns, and bring it down again.

use super::{Client, Error, Listed, spread};
use crate::clock::Span;
use crate::config::Accepted;
use crate::types::Version;

/// How often the platform is asked.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Between two questions.
    pub poll: Span,
    /// The longest pause while it does not answer.
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

/// What the platform told.
#[derive(Debug)]
pub enum News {
    /// A newer configuration.
    Config(Accepted),
    /// A newer list.
    Members(Listed),
    /// It does not answer any more.
    Lost(Error),
    /// It answers again.
    Back,
}

/// Asks for ever. `version` tells the configuration's version known by now, perhaps from a peer.
pub async fn run(
    client: &Client,
    pace: Pace,
    version: impl Fn() -> Version,
    mut tell: impl FnMut(News),
) {
    let mut list = Version(0);
    let mut pause = pace.poll;
    let mut lost = false;
    loop {
        match round(client, version(), &mut list, &mut tell).await {
            Ok(()) => {
                if std::mem::take(&mut lost) {
                    tell(News::Back);
                }
                pause = pace.poll;
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    tell(News::Lost(error));
                }
                pause = pause.percent(200).min(pace.longest);
            }
        }
        tokio::time::sleep(spread(pause)).await;
    }
}

async fn round(
    client: &Client,
    known: Version,
    list: &mut Version,
    tell: &mut impl FnMut(News),
) -> Result<(), Error> {
    let config = client.config(known).await;
    let members = client.members(*list).await;
    if let Some(listed) = members? {
        *list = listed.version;
        tell(News::Members(listed));
    }
    if let Some(accepted) = config? {
        tell(News::Config(accepted));
    }
    Ok(())
}
