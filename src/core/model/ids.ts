/** Identifiers, versions and fencing tokens: branded types, so that one cannot be passed for another. */

declare const brand: unique symbol;
/** A primitive type that is not interchangeable with others of the same representation. */
export type Brand<Representation, Name extends string> = Representation & {
  readonly [brand]: Name;
};

/** Id of a job, chosen by its user. */
export type JobId = Brand<string, 'JobId'>;
/** Name of a team. */
export type TeamName = Brand<string, 'TeamName'>;
/** Name of a machine, given by the cloud. */
export type MachineName = Brand<string, 'MachineName'>;
/** Name of a machine type. */
export type TypeName = Brand<string, 'TypeName'>;
/** Name of a zone. */
export type Zone = Brand<string, 'Zone'>;
/** Name of a controller, and of its shard. */
export type NodeName = Brand<string, 'NodeName'>;
/** Id of one run of a controller process; a restart gets a new one. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** Version of one key in the state service: the revision of its last write; 0 for a key that does not exist. */
export type Version = Brand<number, 'Version'>;
/** Revision of the whole state service; grows with each write. */
export type Revision = Brand<number, 'Revision'>;
/** Fencing token of a machine: an agent rejects commands with a lower one than it has seen. */
export type FencingToken = Brand<number, 'FencingToken'>;
/** Tells one start of a task from its others; the tasks of a gang share one attempt. */
export type Attempt = Brand<number, 'Attempt'>;
/** Number of a task in its job, from 0. */
export type TaskIndex = number;

/** Takes text for a job id. */
export const jobId = (text: string): JobId => text as JobId;
/** Takes text for a team's name. */
export const teamName = (text: string): TeamName => text as TeamName;
/** Takes text for a machine's name. */
export const machineName = (text: string): MachineName => text as MachineName;
/** Takes text for a type's name. */
export const typeName = (text: string): TypeName => text as TypeName;
/** Takes text for a zone's name. */
export const zoneName = (text: string): Zone => text as Zone;
/** Takes text for a controller's name. */
export const nodeName = (text: string): NodeName => text as NodeName;
/** Takes text for the id of a process. */
export const incarnation = (text: string): Incarnation => text as Incarnation;
/** Takes a number for a key's version. */
export const version = (value: number): Version => value as Version;
/** Takes a number for a revision. */
export const revision = (value: number): Revision => value as Revision;
/** Takes a number for a fencing token. */
export const fencingToken = (value: number): FencingToken => value as FencingToken;
/** Takes a number for an attempt. */
export const attempt = (value: number): Attempt => value as Attempt;

/** The version of a key that does not exist. */
export const NO_VERSION = version(0);

/** The name of a task in logs and on the wire. */
export const taskId = (job: JobId, index: TaskIndex): string => `${job}/${index}`;
