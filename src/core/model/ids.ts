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
/** Id of one run of a controller process; each restart gets a new one. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** Version of one key in the state service: the revision of its last write; 0 for a key that does not exist. */
export type Version = Brand<number, 'Version'>;
/** Revision of the whole state service, which grows with each write. */
export type Revision = Brand<number, 'Revision'>;
/** Fencing token of a machine: its agent rejects commands with a token below the highest one that it has seen. */
export type FencingToken = Brand<number, 'FencingToken'>;
/** Number that distinguishes the starts of a task; the tasks of a gang share one attempt. */
export type Attempt = Brand<number, 'Attempt'>;
/** Index of a task in its job, starting at 0. */
export type TaskIndex = number;

/** Brands a string as a job id, without validating it. */
export const jobId = (text: string): JobId => text as JobId;
/** Brands a string as a team name, without validating it. */
export const teamName = (text: string): TeamName => text as TeamName;
/** Brands a string as a machine name, without validating it. */
export const machineName = (text: string): MachineName => text as MachineName;
/** Brands a string as the name of a machine type, without validating it. */
export const typeName = (text: string): TypeName => text as TypeName;
/** Brands a string as a zone name, without validating it. */
export const zoneName = (text: string): Zone => text as Zone;
/** Brands a string as a controller name, without validating it. */
export const nodeName = (text: string): NodeName => text as NodeName;
/** Brands a string as an incarnation, without validating it. */
export const incarnation = (text: string): Incarnation => text as Incarnation;
/** Brands a number as the version of a key, without validating it. */
export const version = (value: number): Version => value as Version;
/** Brands a number as a revision, without validating it. */
export const revision = (value: number): Revision => value as Revision;
/** Brands a number as a fencing token, without validating it. */
export const fencingToken = (value: number): FencingToken => value as FencingToken;
/** Brands a number as an attempt, without validating it. */
export const attempt = (value: number): Attempt => value as Attempt;

/** The version of a key that does not exist. */
export const NO_VERSION = version(0);

/** The id of a task in logs and on the wire. */
export const taskId = (job: JobId, index: TaskIndex): string => `${job}/${index}`;
