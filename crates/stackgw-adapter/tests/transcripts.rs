//! The adapter's binary, run on valid and malformed transcripts and on one that is split over processes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONF: &str = r#"{"Classes":[{"AimNs":300000000,"DeadlineNs":750000000,"DedupWindowNs":0,"Effect":"retryable","Group":"all","LateWorth":0.0,"Name":"read","Stream":false,"Worth":1.0},{"AimNs":500000000,"DeadlineNs":3000000000,"DedupWindowNs":0,"Effect":"fragile","Group":"all","LateWorth":0.5,"Name":"write","Stream":false,"Worth":3.0}],"Clients":{"MarksRetry":true},"Domain":{"Behind":"silent","CatchUpWaitNs":0,"CommitWaits":true,"CountedFromNs":1000000000,"NeedsByClass":["recent","update"],"RoleListed":"delayed","SessionMarks":"client","StalenessBoundNs":[500000000,0],"Stamps":true},"FleetSize":2,"Limits":{"Cancel":true,"DialTimeoutNs":250000000,"MaxAttempts":4,"MaxRetryAfterNs":1000000000,"MayTell":false,"Probes":true,"RetryAfter":true,"SecondCopies":false},"Me":0,"MembershipMode":"automatic","Obligations":{"AnswerSlackNs":20000000,"FallMultiple":3.0,"FallNs":2000000000,"MustAskInNs":1,"StartCapacity":0.2,"StopSendingWithinNs":1000000000,"WarmWithinNs":10000000000},"Prices":{"CrossZone":0.0,"LateFail":0.1,"Probe":0.05,"Waste":0.04},"QuantumNs":5000000,"Stats":{"Fields":["x0","x1"],"How":"piggyback"},"Zone":0,"Unheard":{"of":[1]}}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stackgw-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("standard input is piped");
    let text = input.to_owned();
    let writer = std::thread::spawn(move || drop(stdin.write_all(text.as_bytes())));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the input is written");
    output
}

fn power_on_lines(instance: &str) -> String {
    format!(
        "power_on GatewayId={instance} Seed=7 Conf={CONF}\n\
         page Buffer=3 MembersList=2\n\
         item Leads=1 Readiness=in_service Server=alpha Shard=4 Weight=1 Area=0 FamilyType=0\n\
         item Weight=1 StartedAtNs=0 Area=0 Server=beta Shard=4 FamilyType=0 Readiness=in_service Leads=0\n\
         topology GatewayId={instance} Serial=1 Scope=cached Buffer=3\n"
    )
}

fn first_batch() -> String {
    format!(
        "clock NowNs=9000000000 seq=1\n{}go\n",
        power_on_lines("gateway_0")
    )
}

fn stdout(output: &Output) -> String {
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout.clone()).expect("the output is UTF-8")
}

const READ: &str =
    "query RequestId=r1 GatewayId=gateway_0 DropDeadNs=9750000000 Service=0 Cluster=4 New=1\n";

#[test]
fn a_read_is_forwarded_and_finished_with_one_reply_a_batch() {
    let input = first_batch()
        + "clock NowNs=9001000000 seq=2\n\
           probe_done GatewayId=gateway_0 Server=beta TookNs=1000000 Status=delivered Stats=x0:7.999,x1:0\n"
        + READ
        + "go\nclock NowNs=9051000000 seq=3\n\
           resolved GatewayId=gateway_0 RequestId=r1 Attempt=0 Server=beta Status=delivered TookNs=50000000 \
           Finished=1 Note=32002\nabandoned GatewayId=gateway_0 RequestId=r1\ngo\n";
    let text = stdout(&run(&input));
    assert!(
        text.contains("pass_on GatewayId=gateway_0 RequestId=r1 Server=beta"),
        "{text}"
    );
    let replies: Vec<_> = text.lines().filter(|l| l.starts_with("done")).collect();
    assert_eq!(replies, ["done seq=1", "done seq=2", "done seq=3"]);
}

#[test]
fn an_instance_restarted_within_a_batch_starts_without_state() {
    let input = first_batch()
        + "clock NowNs=9001000000 seq=2\n"
        + "query RequestId=r1 GatewayId=gateway_0 DropDeadNs=9750000000 Service=1 Cluster=4 Sess=s\n"
        + "halt GatewayId=gateway_0\n"
        + &power_on_lines("gateway_0")
        + "resolved GatewayId=gateway_0 RequestId=r1 Attempt=0 Server=alpha Status=dropped TookNs=1\ngo\n";
    let text = stdout(&run(&input));
    let after = text
        .split("done seq=1")
        .nth(1)
        .expect("the output has a second reply");
    assert_eq!(
        after.matches("RequestId=r1").count(),
        1,
        "the request is sent only once, before the instance is stopped: {after}"
    );
}

#[test]
fn a_page_reused_within_a_batch_is_read_as_of_each_event() {
    let entry =
        |name: &str| format!("item Server={name} Shard=4 Readiness=in_service Leads=1 Weight=1\n");
    let input = format!(
        "clock NowNs=9000000000 seq=1\npower_on GatewayId=gateway_0 Seed=-3 Conf={CONF}\n\
         power_on GatewayId=gateway_1 Seed=4 Conf={CONF}\npage Buffer=0 MembersList=1\n{}\
         topology GatewayId=gateway_0 Serial=1 Scope=cached Buffer=0\npage Buffer=0 MembersList=1\n{}\
         topology GatewayId=gateway_1 Serial=1 Scope=cached Buffer=0\n\
         query GatewayId=gateway_0 RequestId=a DropDeadNs=12000000000 Service=1 Cluster=4 Sess=s\n\
         query GatewayId=gateway_1 RequestId=b DropDeadNs=12000000000 Service=1 Cluster=4 Sess=s\ngo\n",
        entry("old"),
        entry("new")
    );
    let text = stdout(&run(&input));
    assert!(text.contains("RequestId=a Server=old"), "{text}");
    assert!(text.contains("RequestId=b Server=new"), "{text}");
}

#[test]
fn an_empty_batch_gets_a_reply_and_an_empty_input_gets_none() {
    assert_eq!(stdout(&run("clock NowNs=5 seq=8\ngo\n")), "done seq=8\n");
    assert_eq!(stdout(&run("")), "");
}

#[test]
fn a_batch_of_megabytes_gets_one_reply_and_one_answer_for_each_request() {
    let mut input = first_batch() + "clock NowNs=9001000000 seq=2\n";
    for n in 0..20_000 {
        input += &format!(
            "query GatewayId=gateway_0 RequestId=long-name-{n:030} DropDeadNs=9101000000 Service=1 Cluster=4\n"
        );
    }
    input += "go\nclock NowNs=9115000000 seq=3\nring GatewayId=gateway_0 Cookie=0\ngo\n";
    let text = stdout(&run(&input));
    let ends = text
        .lines()
        .filter(|l| l.starts_with("not_now") || l.starts_with("drop_request"))
        .count();
    assert_eq!(ends, 20_000);
    assert!(text.ends_with("done seq=3\n"));
}

#[test]
fn instances_split_over_processes_act_as_in_one() {
    let replies_for = |names: &[&str]| {
        let mut input = "clock NowNs=9000000000 seq=1\n".to_owned();
        names.iter().for_each(|n| input += &power_on_lines(n));
        input += "go\n";
        for step in 0..200_i64 {
            let now = 9_000_000_000 + (step + 1) * 10_000_000;
            input += &format!("clock NowNs={now} seq={}\n", step + 2);
            for name in names {
                let deadline = now + 400_000_000;
                input += &format!(
                    "query GatewayId={name} RequestId={name}-{step} DropDeadNs={deadline} Service={} Cluster=4\n\
                     ring GatewayId={name} Cookie=0\n",
                    step % 2
                );
            }
            input += "go\n";
        }
        stdout(&run(&input))
    };
    let lines_of = |text: &str, name: &str| -> Vec<String> {
        let part = format!("GatewayId={name} ");
        text.lines()
            .filter(|l| l.contains(&part))
            .map(str::to_owned)
            .collect()
    };
    let together = replies_for(&["gateway_0", "gateway_1"]);
    for name in ["gateway_0", "gateway_1"] {
        let alone = lines_of(&replies_for(&[name]), name);
        assert!(alone.len() > 200);
        assert_eq!(lines_of(&together, name), alone);
    }
}

#[test]
fn malformed_input_names_its_line_and_field_and_ends_the_run() {
    let batch = |line: &str| {
        format!(
            "{}clock NowNs=9001000000 seq=2\n{line}\ngo\n",
            first_batch()
        )
    };
    let cases = [
        (
            batch("query GatewayId=gateway_0 RequestId=r DropDeadNs=soon Service=0 Cluster=4"),
            "line 9, DropDeadNs",
        ),
        (batch("query GatewayId=gateway_0 RequestId=r Service=0 Cluster=4"), "line 9, DropDeadNs"),
        (batch("query GatewayId=gateway_0 RequestId=r DropDeadNs=1 Service=9 Cluster=4"), "line 9, Service"),
        (
            batch("query GatewayId=gateway_9 RequestId=r DropDeadNs=1 Service=0 Cluster=4"),
            "line 9, GatewayId",
        ),
        (batch("query GatewayId=gateway_0 GatewayId=gateway_0"), "line 9, GatewayId"),
        (batch("heard GatewayId=gateway_0 From=1 Body=a*b"), "line 9, Body"),
        (batch("chat GatewayId=gateway_0"), "line 9, message"),
        (batch("ring GatewayId=gateway_0 Cookie"), "line 9, ring"),
        (batch("topology GatewayId=gateway_0 Serial=2 Scope=full Buffer=9"), "line 9, Buffer"),
        (batch("topology GatewayId=gateway_0 Serial=2 Scope=some Buffer=3"), "line 9, Scope"),
        (
            batch("page Buffer=3 MembersList=2\nitem Server=x Shard=4 Readiness=in_service"),
            "line 11, MembersList",
        ),
        (
            batch("resolved GatewayId=gateway_0 RequestId=r Attempt=0 Server=beta Status=odd TookNs=1"),
            "line 9, Status",
        ),
        (batch("power_on GatewayId=gateway_1 Seed=1 Conf={\"Classes\":["), "line 9, Conf"),
        (batch("power_on GatewayId=gateway_1 Seed=1 Conf={}"), "line 9, Conf"),
        (batch(""), "line 9, message"),
        (batch("clock NowNs=9002000000 seq=3"), "line 9, clock"),
        ("go\n".to_owned(), "line 1, go"),
        (first_batch() + "clock NowNs=9001000000 seq=2\n", "line 9, go"),
        (first_batch() + "clock NowNs=9001000000 seq=2\ngo", "line 9, text"),
    ];
    for (input, place) in cases {
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{place} was accepted");
        assert!(stderr.contains(place), "expected '{place}', got: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
    }
}

/// A recorded conversation and its replies: two instances that exchange gossip, members that fail, drain, leave and change the
/// primary, and an instance that is killed.
const CONVERSATION: &str = include_str!("fixtures/conversation.in");
const REPLIES: &str = include_str!("fixtures/conversation.out");

#[test]
fn a_recorded_conversation_gets_byte_identical_replies() {
    let replies = stdout(&run(CONVERSATION));
    for (number, (line, recorded)) in replies.lines().zip(REPLIES.lines()).enumerate() {
        assert_eq!(line, recorded, "line {} of the replies", number + 1);
    }
    assert!(
        replies == REPLIES,
        "{} bytes, {} recorded",
        replies.len(),
        REPLIES.len()
    );
}

#[test]
fn the_recorded_conversation_has_every_message_and_every_status() {
    let has = |text: &str, line_starts: &str, field: &str| {
        text.lines()
            .any(|line| line.starts_with(line_starts) && line.contains(field))
    };
    for message in [
        "clock",
        "go",
        "page",
        "item",
        "power_on",
        "halt",
        "topology",
        "query",
        "first",
        "resolved",
        "abandoned",
        "ring",
        "probe_done",
        "heard",
    ] {
        assert!(has(CONVERSATION, message, ""), "no '{message}' line");
    }
    for status in [
        "delivered",
        "app_error",
        "shed",
        "empty",
        "expired",
        "dial_failed",
        "dropped",
        "revoked",
        "unused",
    ] {
        assert!(
            has(CONVERSATION, "", &format!("Status={status} ")),
            "the conversation has no line with the status '{status}'"
        );
    }
    for scope in ["delta", "full", "cached", "failed"] {
        assert!(
            has(CONVERSATION, "topology", &format!("Scope={scope}")),
            "the conversation has no list with the scope '{scope}'"
        );
    }
    for reply in [
        "pass_on",
        "undo_send",
        "not_now",
        "drop_request",
        "defer",
        "ask_load",
        "say",
        "stream_changes",
        "done",
    ] {
        assert!(has(REPLIES, reply, ""), "no '{reply}' line");
    }
}
