@0xc0a1d6f2b38e9417;
# Messages between hosts. Each struct mirrors the data class of the same name in
# policy/_messages.py or policy/_outcomes.py. For compatibility, new fields and enumerants are added
# at the end. A Float64 with the default nan is optional; nan means that the value is absent.

struct Envelope {
  version @0 :UInt16;
  sender @1 :Text;
  incarnation @2 :UInt64;
  messages @3 :List(Message);
}

struct Message {
  union {
    ping @0 :Ping;
    pingReply @1 :PingReply;
    pingRequest @2 :PingRequest;
    goodbye @3 :Goodbye;
    configPull @4 :ConfigPull;
    configDocument @5 :ConfigDocument;
    forwardCall @6 :ForwardCall;
    forwardReply @7 :ForwardReply;
    witnessRecord @8 :WitnessRecord;
    witnessAck @9 :WitnessAck;
    witnessQuery @10 :WitnessQuery;
    witnessVerdict @11 :WitnessVerdict;
    witnessHandoff @12 :WitnessHandoff;
    slotAsk @13 :SlotAsk;
    slotGrant @14 :SlotGrant;
    slotRefusal @15 :SlotRefusal;
    slotRelease @16 :SlotRelease;
    slotWithdraw @17 :SlotWithdraw;
    slotHeld @18 :SlotHeld;
    taskControl @19 :TaskControl;
    speedDigest @20 :SpeedDigest;
    quotaDigest @21 :QuotaDigest;
  }
}

enum MemberState { alive @0; leaving @1; suspect @2; dead @3; }
enum Operation { submit @0; query @1; cancel @2; }
enum Urgency { urgent @0; normal @1; background @2; }
enum StartResult { ok @0; failed @1; notStarted @2; lost @3; stopped @4; unused @5; }
enum OutcomeKind { complete @0; failed @1; notRun @2; unknown @3; }

enum Reason {
  none @0;
  taskFailed @1;
  leaseLapsed @2;
  upstreamLost @3;
  timedOut @4;
  cancelled @5;
  flowLimit @6;
  quota @7;
  deadline @8;
  impossible @9;
  noUpstream @10;
  draining @11;
  notReady @12;
  witnessLost @13;
  witnessRefused @14;
  ownerLost @15;
  ownerUnreachable @16;
  idExpired @17;
  idInvalid @18;
  foreignId @19;
  bodyConflict @20;
  unknownKind @21;
  kindForbidden @22;
  notSubmitted @23;
}

struct MemberUpdate {
  name @0 :Text;
  address @1 :Text;
  port @2 :UInt16;
  failureDomain @3 :Text;
  incarnation @4 :UInt64;
  counter @5 :UInt32;
  state @6 :MemberState;
  weight @7 :Float64 = 1.0;
}

struct Ping {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  updates @2 :List(MemberUpdate);
}

struct PingReply {
  sequence @0 :UInt64;
  revision @1 :UInt64;
  updates @2 :List(MemberUpdate);
}

struct PingRequest {
  sequence @0 :UInt64;
  target @1 :Text;
}

struct Goodbye {
  incarnation @0 :UInt64;
}

struct ConfigPull {
  afterRevision @0 :UInt64;
}

struct ConfigDocument {
  revision @0 :UInt64;
  document @1 :Data;
}

struct TaskSpec {
  payload @0 :Data;
  cores @1 :Float64 = 1.0;
  memoryMb @2 :UInt32 = 256;
  accelerators @3 :UInt32;
}

struct SubmissionBody {
  kind @0 :Text;
  tasks @1 :List(TaskSpec);
  urgency @2 :Urgency = normal;
  deadlineS @3 :Float64 = 30.0;
  idempotent @4 :Bool;
  gang @5 :Bool;
  spreadRacks @6 :Bool;
}

struct Outcome {
  kind @0 :OutcomeKind;
  results @1 :List(Data);
  reason @2 :Reason;
  message @3 :Text;
  retryAfterS @4 :Float64 = nan;
}

struct ForwardCall {
  call @0 :UInt64;
  caller @1 :Text;
  operation @2 :Operation;
  submissionId @3 :Text;
  waitS @4 :Float64;
  body @5 :SubmissionBody;
}

struct ForwardReply {
  call @0 :UInt64;
  submissionId @1 :Text;
  outcome @2 :Outcome;
  refusal @3 :Reason;
  message @4 :Text;
}

struct WitnessRecord {
  submissionId @0 :Text;
  caller @1 :Text;
  lifetimeS @2 :Float64;
}

struct WitnessAck {
  submissionId @0 :Text;
  accepted @1 :Bool;
}

struct WitnessQuery {
  submissionId @0 :Text;
  caller @1 :Text;
  lifetimeS @2 :Float64;
}

struct WitnessVerdict {
  submissionId @0 :Text;
  outcome @1 :Outcome;
}

struct WitnessHandoff {
  submissionId @0 :Text;
  caller @1 :Text;
  lifetimeS @2 :Float64;
  outcome @3 :Outcome;
}

struct TaskSize {
  index @0 :UInt32;
  cores @1 :Float64 = 1.0;
  memoryMb @2 :UInt32 = 256;
  accelerators @3 :UInt32;
}

struct SlotAsk {
  submissionId @0 :Text;
  pool @1 :Text;
  caller @2 :Text;
  team @3 :Text;
  kind @4 :Text;
  urgency @5 :Urgency = normal;
  deadlineS @6 :Float64;
  tasks @7 :List(TaskSize);
  attempt @8 :UInt32;
  idempotent @9 :Bool;
  gang @10 :Bool;
  spreadRacks @11 :Bool;
  avoid @12 :List(Text);
}

struct Placement {
  grant @0 :UInt64;
  index @1 :UInt32;
  upstream @2 :Text;
  expectedS @3 :Float64;
}

struct SlotGrant {
  submissionId @0 :Text;
  pool @1 :Text;
  attempt @2 :UInt32;
  placements @3 :List(Placement);
  recorded @4 :Bool;
  flowWaitS @5 :Float64;
}

struct SlotRefusal {
  submissionId @0 :Text;
  pool @1 :Text;
  attempt @2 :UInt32;
  reason @3 :Reason;
  message @4 :Text;
  retryAfterS @5 :Float64 = nan;
  flowWaitS @6 :Float64;
}

struct Release {
  grant @0 :UInt64;
  upstream @1 :Text;
  kind @2 :Text;
  result @3 :StartResult;
  runS @4 :Float64;
  leaving @5 :Bool;
}

struct SlotRelease {
  pool @0 :Text;
  releases @1 :List(Release);
}

struct SlotWithdraw {
  submissionId @0 :Text;
  pool @1 :Text;
}

struct HeldPlace {
  submissionId @0 :Text;
  caller @1 :Text;
  team @2 :Text;
  kind @3 :Text;
  upstream @4 :Text;
  size @5 :TaskSize;
  runningS @6 :Float64;
  grant @7 :UInt64;
}

struct SlotHeld {
  pool @0 :Text;
  places @1 :List(HeldPlace);
}

struct TaskControl {
  submissionId @0 :Text;
  index @1 :UInt32;
  control @2 :Text;
}

struct SpeedEntry {
  upstream @0 :Text;
  speed @1 :Float64;
  samples @2 :UInt64;
}

struct SpeedDigest {
  pool @0 :Text;
  speeds @1 :List(SpeedEntry);
}

struct TeamDemand {
  team @0 :Text;
  askedPerS @1 :Float64;
  startedPerS @2 :Float64;
}

struct QuotaDigest {
  failureDomain @0 :Text;
  sequence @1 :UInt64;
  demands @2 :List(TeamDemand);
}
