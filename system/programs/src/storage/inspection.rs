//! Views and metrics of a storage machine.

use super::StorageServer;
use super::replica::Replica;
use crate::admin::metrics::Metrics;
use crate::admin::{Topic, views};
use fleet_model::{Answer, Call};
use turn_store::{DiskCapacity, Payload, Payloads, RecordCounts};

impl StorageServer {
    /// Answers an operator's query, also while the data directory cannot be opened.
    pub(super) fn inspect(&self, topic: &str) -> Answer {
        let topic_query = Topic::read(topic);
        let own = self.replica.with(|replica| self.inspect_replica(replica, topic_query));
        match (own.flatten(), topic_query.name) {
            (Some(answer), _) => answer,
            (None, "disk" | "turns" | "turn" | "account") => Answer::NotReady,
            (None, _) => self.admin.answer(topic, |metrics| self.metrics(metrics)),
        }
    }

    /// Answers a query of the replica itself; `None` for any other topic.
    fn inspect_replica(&self, replica: &mut Replica, topic_query: Topic<'_>) -> Option<Answer> {
        let in_sync = replica.state.is_in_sync();
        let disk = replica.me.disk;
        let answer = match (topic_query.name, topic_query.argument) {
            ("disk", _) => Answer::View(disk.to_string()),
            ("turns", _) => {
                let RecordCounts { turns, accounts, turn_bytes, .. } = replica.state.counts();
                self.admin.view(serde_json::json!({
                    "disk": disk, "epoch": replica.state.epoch(), "full": in_sync,
                    "turns": turns, "accounts": accounts, "bytes": turn_bytes,
                }))
            }
            ("turn", Some(attempt)) => {
                let (state, turn) = match Payloads::get(&*replica.disk, attempt) {
                    Payload::Present(turn) => ("held", Some(turn)),
                    Payload::Lost => ("unreadable", None),
                    Payload::Pending if in_sync => ("absent", None),
                    Payload::Pending => ("not here yet", None),
                };
                let losses = self.process.settings().fault_tolerance.machines;
                self.admin.view(views::turn(disk, losses, state, turn.as_ref()))
            }
            ("account", Some(program)) => {
                let call = Call::ReadAccount { epoch: replica.state.epoch(), program: program.to_owned() };
                let outcome = replica.state.handle(self.process.now_ms(), &call, &*replica.disk);
                let reservations = match &outcome.answer {
                    Answer::Account(reservations) => Some(reservations.as_slice()),
                    _ => None,
                };
                self.admin.view(views::account(disk, reservations))
            }
            _ => return None,
        };
        Some(answer)
    }

    fn metrics(&self, metrics: &mut Metrics) {
        let flag = |set: bool| f64::from(u8::from(set));
        metrics.gauge("storage_node_disk_refusing", flag(self.replica.is_refusing()));
        metrics.counter("storage_node_disk_refusals", self.replica.refusals());
        self.replica.with(|replica| {
            let counts = replica.state.counts();
            metrics.gauge("storage_node_turns", counts.turns as f64);
            metrics.gauge("storage_node_accounts", counts.accounts as f64);
            metrics.gauge("storage_node_account_bytes", counts.account_bytes as f64);
            metrics.gauge(
                "storage_node_account_retention_seconds",
                replica.state.account_retention_ms() as f64 / 1e3,
            );
            metrics.gauge("storage_node_turn_bytes", counts.turn_bytes as f64);
            metrics.gauge("storage_node_damages_found", replica.damages as f64);
            metrics.gauge("storage_node_table_bytes", replica.disk.table_bytes() as f64);
            metrics.gauge("storage_node_room_scarce", flag(replica.state.capacity() != DiskCapacity::Ample));
            metrics.gauge("storage_node_full", flag(replica.state.is_in_sync()));
        });
    }
}
