//! Helpers of the process tests: the gateway binary between sockets that the test controls ([`gateway_process`]), and gateways in
//! front of the testkit's replication group, with clients of either protocol ([`group_fixture`], [`protocol_client`]).
#![allow(dead_code, reason = "each test file uses only a part of this module")]

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
pub mod shim;
