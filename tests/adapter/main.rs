//! The users' platform: its codec, documents and calls, against small stand-ins.

#[path = "../../platform/mod.rs"]
mod platform;

mod cloud;
mod documents;
mod script;
mod settings;
mod store;
mod wire;
