use super::*;

/// Guards against taking a call for another: a word missing or too many must not change anything.
#[test]
fn calls_are_read_word_by_word() {
    let exclude = |id: &str| Parsed::Command(Command::Exclude(id.to_owned()));
    assert_eq!(parse("readyz\r\n"), Ok(Parsed::Ready));
    assert_eq!(parse("telemetry\n"), Ok(Parsed::Figures));
    assert_eq!(parse("telemetry all\n"), Err(CallError::Extra("all".to_owned())));
    assert_eq!(parse("  exclude  s-1\n"), Ok(exclude("s-1")));
    assert_eq!(parse("include s-1"), Ok(Parsed::Command(Command::Include("s-1".to_owned()))));
    assert_eq!(parse("evacuate"), Ok(Parsed::Command(Command::Evacuate)));
    assert_eq!(parse("activate"), Ok(Parsed::Command(Command::Activate)));
    assert_eq!(parse("fleet view"), Ok(Parsed::Query(Query::View)));
    assert_eq!(parse("fleet mark"), Ok(Parsed::Query(Query::Digests)));
    let remove = sender_membership::Command::Remove("n1".to_owned());
    assert_eq!(parse("fleet remove n1"), Ok(Parsed::Fleet(remove)));
    assert_eq!(parse("fleet remove"), Err(CallError::Fleet));
    assert_eq!(parse("fleet leave now"), Err(CallError::Extra("now".to_owned())));
    assert_eq!(parse(" \n"), Err(CallError::Empty));
    assert_eq!(parse("READYZ"), Err(CallError::Unknown("READYZ".to_owned())));
    assert_eq!(parse("exclude\n"), Err(CallError::NoId("exclude")));
    assert_eq!(parse("include"), Err(CallError::NoId("include")));
    assert_eq!(parse("exclude a b"), Err(CallError::Extra("b".to_owned())));
    assert_eq!(parse("evacuate now"), Err(CallError::Extra("now".to_owned())));
}
