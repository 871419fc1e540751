//! A serving layer for model prompts of very different lengths: entries accept and route requests,
//! agents admit them to endpoints, and control replicates the configuration.

pub mod agent;
pub mod burn;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod config_check;
pub mod config_check_command;
pub mod config_lease;
pub mod control;
pub mod control_client;
pub mod derive;
pub mod directory;
pub mod document;
pub mod engine;
pub mod entry;
pub mod events;
pub mod exit_codes;
pub mod faults;
pub mod findings;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod losses;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod platform;
pub mod process;
pub mod prompt_class;
pub mod quarantine;
pub mod raft;
pub mod settings;
pub mod trace;
pub mod wire;
