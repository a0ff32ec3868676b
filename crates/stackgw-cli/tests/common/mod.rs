//! What the process tests share: the gateway's binary between sockets that a test drives by hand ([`gateway_process`]), and
//! behind the testkit's group, by either protocol ([`group_fixture`], [`protocol_client`]).
#![allow(dead_code, reason = "each test file uses a part of it")]

#[path = "../../../stackgw-gateway/tests/common/mod.rs"]
pub mod gateway_common;
pub mod gateway_process;
#[cfg(feature = "flight")]
pub mod group_fixture;
pub mod pg_connection;
#[cfg(feature = "flight")]
pub mod protocol_client;
pub mod scripted_list_service;
pub mod scripted_member;
