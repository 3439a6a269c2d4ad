//! Orders of operators and the verdicts on them.

use super::values::read_text;
use super::{WireError, malformed};
use crate::peer_capnp as wire;
use bytes::Bytes;
use fleet_model::{CommittedVersion, ConfigVerdict, Order, OrderVerdict, RetireVerdict};

pub(super) fn write_order(mut builder: wire::order::Builder<'_>, order: &Order) {
    match order {
        Order::PutConfig { expected, sent, body } => {
            let mut builder = builder.init_put_config();
            builder.set_expected(*expected);
            builder.set_version(sent.version);
            builder.set_digest(&sent.digest);
            builder.set_body(body);
        }
        Order::Retire { machine } => builder.set_retire(machine),
    }
}

pub(super) fn read_order(reader: wire::order::Reader<'_>) -> Result<Order, WireError> {
    use wire::order::Which;
    Ok(match reader.which()? {
        Which::PutConfig(reader) => Order::PutConfig {
            expected: reader.get_expected(),
            sent: CommittedVersion {
                version: reader.get_version(),
                digest: reader
                    .get_digest()?
                    .try_into()
                    .map_err(|_| malformed("a digest of another length"))?,
            },
            body: Bytes::copy_from_slice(reader.get_body()?),
        },
        Which::Retire(machine) => Order::Retire { machine: read_text(machine?)? },
    })
}

pub(super) fn write_verdict(mut builder: wire::verdict::Builder<'_>, verdict: OrderVerdict) {
    match verdict {
        OrderVerdict::PutConfig(ConfigVerdict::Committed) => builder.set_committed(()),
        OrderVerdict::PutConfig(ConfigVerdict::VersionMismatch(current)) => {
            builder.set_version_mismatch(current);
        }
        OrderVerdict::PutConfig(ConfigVerdict::NotNewer) => builder.set_not_newer(()),
        OrderVerdict::PutConfig(ConfigVerdict::Indeterminate) => builder.set_indeterminate(()),
        OrderVerdict::Retire(RetireVerdict::Active) => builder.set_active(()),
        OrderVerdict::Retire(RetireVerdict::Completed) => builder.set_completed(()),
        OrderVerdict::Retire(RetireVerdict::Serving) => builder.set_serving(()),
        OrderVerdict::Retire(RetireVerdict::Unknown) => builder.set_unknown(()),
        OrderVerdict::Retire(RetireVerdict::TooFew { remaining }) => {
            builder.set_too_few(u32::try_from(remaining).unwrap_or(u32::MAX));
        }
    }
}

pub(super) fn read_verdict(reader: wire::verdict::Reader<'_>) -> Result<OrderVerdict, WireError> {
    use wire::verdict::Which;
    Ok(match reader.which()? {
        Which::Committed(()) => OrderVerdict::PutConfig(ConfigVerdict::Committed),
        Which::VersionMismatch(current) => OrderVerdict::PutConfig(ConfigVerdict::VersionMismatch(current)),
        Which::NotNewer(()) => OrderVerdict::PutConfig(ConfigVerdict::NotNewer),
        Which::Indeterminate(()) => OrderVerdict::PutConfig(ConfigVerdict::Indeterminate),
        Which::Active(()) => OrderVerdict::Retire(RetireVerdict::Active),
        Which::Completed(()) => OrderVerdict::Retire(RetireVerdict::Completed),
        Which::Serving(()) => OrderVerdict::Retire(RetireVerdict::Serving),
        Which::Unknown(()) => OrderVerdict::Retire(RetireVerdict::Unknown),
        Which::TooFew(remaining) => {
            OrderVerdict::Retire(RetireVerdict::TooFew { remaining: remaining as usize })
        }
    })
}
