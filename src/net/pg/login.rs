//! A caller's connection until its login.

use super::end::{End, close, send};
use super::gather::Inbox;
use super::startup::{self, Login, Packet};
use super::{LOGIN_TIMEOUT, Slot, caller};
use tokio::net::TcpStream;

/// The answer that refuses encryption.
const NO_ENCRYPTION: &[u8] = b"N";

/// Logs a caller in and serves it.
pub(super) async fn run(mut stream: TcpStream, slot: Slot) {
    let mut inbox = Inbox::default();
    let login = tokio::time::timeout(LOGIN_TIMEOUT, login(&mut stream, &mut inbox, &slot)).await;
    let end = match login {
        Ok(Ok(Some(login))) => return caller::start(stream, slot, inbox, login).await,
        Ok(Ok(None)) | Err(_) => return,
        Ok(Err(end)) => end,
    };
    close(&mut stream, &end).await;
}

/// Reads messages until the login; `None` after a cancel request.
async fn login(
    stream: &mut TcpStream,
    inbox: &mut Inbox,
    slot: &Slot,
) -> Result<Option<Box<Login>>, End> {
    loop {
        match startup::take(inbox.buffer())? {
            Some(Packet::Encryption) => send(stream, NO_ENCRYPTION).await?,
            Some(Packet::Login(login)) => return Ok(Some(login)),
            Some(Packet::Cancel(cancel)) => {
                let link = slot.shared.cancel_keys.borrow().get(&cancel).copied();
                if let Some(link) = link {
                    (slot.shared.core.cancel)(link);
                }
                return Ok(None);
            }
            None => {
                stream.readable().await?;
                if !inbox.read(stream, slot)? {
                    return Err(End::Gone);
                }
            }
        }
    }
}
