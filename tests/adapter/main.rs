//! The platform adapter: its codec, documents and calls, against scripted servers.

#[path = "../../platform/mod.rs"]
mod platform;

mod cloud;
mod documents;
mod script;
mod settings;
mod store;
mod wire;
