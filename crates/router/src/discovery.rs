//! Service discovery: which servers there are, as the platform's list and the servers' own reports say.

pub(crate) mod endpoint_list;
pub(crate) mod list_reader;
pub(crate) mod report_poller;
