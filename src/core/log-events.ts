/** All events that the service logs; docs/operations.md tells operators what each asks for. */

/** Messages of log lines: subject first, then a state or what has happened. */
export const LOG_EVENT = {
  /** Level `info`. The controller listens. Fields: `node`, `incarnation`, `bind`. */
  controllerServing: 'controller serving',
  /** Level `info`. The lease of this controller's session is gone; a new session follows. Fields: `lease`. */
  sessionLeaseExpired: 'session lease expired',
  /** Level `info`. This controller is the leader from now on. Fields: `lease`. */
  leadershipAcquired: 'leadership acquired',
  /** Level `info`. This controller holds its own shard again. Fields: `shard`, `token`. */
  shardAcquired: 'shard acquired',
  /** Level `info`. The leader gives a shard to a controller. Fields: `shard`, `from`, `to`. */
  shardAssigned: 'shard assigned',
  /** Level `info`. The leader gives a team to a shard. Fields: `team`, `shard`. */
  teamAssigned: 'team assigned',
  /** Level `info`. The leader moves a machine to another shard. Fields: `machine`, `from`, `to`, `floor`, `reason`. */
  machineAssigned: 'machine assigned',
  /** Level `info`. A machine without a record gets one. Fields: `machine`, `to`, `floor`. */
  machineRegistered: 'machine registered',
  /** Level `info`. The cloud lists the machine as failed. Fields: `machine`. */
  machineFailed: 'machine failed',
  /** Level `info`. The cloud lists the machine no more. Fields: `machine`. */
  machineDelisted: 'machine delisted',
  /** Level `info`. The leader returns the machine to the cloud. Fields: `machine`, `phase`, `ageS`. */
  machineReleaseDecided: 'machine release decided',
  /** Level `info`. The cloud has taken the machines back. Fields: `machines`. */
  machinesReleased: 'machines released',
  /** Level `info`. The cloud answered a rental. Fields: `rental`, `type`, `zone`, `spot`, `asked`, `got`. */
  machinesRented: 'machines rented',
  /** Level `info`. No sign of life for too long; the machine is returned. Fields: `machine`, `token`, `silentMs`. */
  machineUnreachable: 'machine unreachable',
  /** Level `info`. A submission is committed. Fields: `job`, `team`, `kind`, `tasks`, `class`. */
  jobAccepted: 'job accepted',
  /** Level `info`. Why a job that has waited for long was passed over. Fields: `job`, `team`, `priority`, `waitsS`, `reason`. */
  jobPending: 'job pending',
  /** Level `info`. A cancellation begins. Fields: `job`. */
  jobCancelling: 'job cancelling',
  /** Level `info`. The job is done or cancelled. Fields: `job`, `state`, `done`. */
  jobFinished: 'job finished',
  /** Level `info`. The job fails on every machine and backs off. Fields: `job`, `rounds`, `why`, `machines`, `until`. */
  jobFailing: 'job failing',
  /** Level `info`. A task was placed on a machine. Fields: `task`, `team`, `attempt`, `machine`, `token`, `share`, `fitness`, `fetchRank`. */
  taskPlaced: 'task placed',
  /** Level `info`. A task has left its machine. Fields: `task`, `attempt`, `machine`, `token`, `reason`. */
  taskExited: 'task exited',
  /** Level `info`. Tasks are stopped for another job. Fields: `job`, `tasks`, `attempt`, `machine`, `for`, `entitled`. */
  taskPreempted: 'task preempted',
  /** Level `info`. Requests and writes since the start. Fields: see docs/operations.md. */
  stateServiceUsage: 'state service usage',
  /** Level `debug`. A command to an agent. Fields: `op`, `task`, `attempt`, `machine`, `token`. */
  agentCommandSent: 'agent command sent',
  /** Level `debug`. A cancellation went to the controller of the job's team. Fields: `job`, `ms`, `outcome`. */
  cancellationForwarded: 'cancellation forwarded',
  /** Level `error`. The state service calls a transaction malformed or too large. Fields: `keys`, `answer`. */
  transactionRejected: 'transaction rejected',
  /** Level `error`. An HTTP request ended with an unexpected error. Fields: `err`. */
  requestFailed: 'request failed',
  /** Level `error`. A pass of the shard controller failed and is repeated. Fields: `err`. */
  reconcileLoopFailed: 'reconcile loop failed',
  /** Level `error`. A pass of the leader failed and is repeated. Fields: `err`. */
  leaderLoopFailed: 'leader loop failed',
  /** Level `error`. Reading the cloud's list failed and is repeated. Fields: `err`. */
  cloudInventoryFailed: 'cloud inventory failed',
  /** Level `error`. Returning machines failed and is repeated. Fields: `err`. */
  machineReleaseFailed: 'machine release failed',
  /** Level `error`. Renting machines failed and is repeated. Fields: `err`. */
  machineRentalFailed: 'machine rental failed',
  /** Level `error`. A package ended with an error; the controller goes on without it. Fields: `err`, `package`. */
  packageFailed: 'package failed',
} as const;
