//! The numbers, words and HTTP statuses of all result codes, and how ids look as JSON, against golden files.
//! `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

mod golden_file;

use types::{
    Address, ApiKey, ApiKeys, ConfigEpoch, DiskId, Milliseconds, MonotonicInstant, RequestId,
    ResultCode, RunId, SequenceNumber, ServerName, ServiceName, TenantName, ViewNumber, ZoneName,
};

#[test]
fn result_codes_keep_numbers_words_and_statuses() {
    let row = |code: &ResultCode| {
        let retry_after = code
            .comes_back()
            .map_or("-".to_owned(), |span| span.0.to_string());
        let (number, http, word) = (code.number(), code.http_status(), code.word());
        let refusal = if code.is_refusal() { "refusal" } else { "-" };
        format!("{number} {word} {http} {retry_after} {refusal} {code}\n")
    };
    let rows: String = ResultCode::ALL.iter().map(row).collect();
    golden_file::compare_text("result-codes.txt", &rows);
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it is JSON")
}

#[test]
fn ids_and_times_have_their_golden_json_and_text() {
    let address: Address = "[::1]:7100".parse().expect("an address");
    let lines = [
        json(&Address::loopback(7100)),
        json(&address),
        json(&ConfigEpoch(1)),
        json(&ViewNumber(2)),
        json(&SequenceNumber(3)),
        json(&MonotonicInstant(4)),
        json(&Milliseconds(5)),
        json(&ZoneName::from("north")),
        json(&RequestId::from("r-1")),
        json(&RunId::from("run-1")),
        json(&ServerName::from("127.0.0.1:8101")),
        json(&ServiceName::from("drafts")),
        json(&TenantName::from("acme")),
        json(&ApiKeys(vec![ApiKey::from("secret")])),
        Address::loopback(7100).to_string(),
        address.to_string(),
        DiskId(0xfeed).to_string(),
        ConfigEpoch(1).to_string(),
    ];
    golden_file::compare_json_lines("ids.txt", &lines);
}
