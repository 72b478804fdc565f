/** Identifiers, versions and fencing tokens: branded types, so that one cannot be passed for another. */

/**
 * The vocabulary of the core. Ids, versions and times are types of their own, so that one cannot stand in
 * for another by mistake.
 */

declare const brand: unique symbol;
/** A primitive type that is not interchangeable with others of the same representation. */
export type Brand<T, B extends string> = T & { readonly [brand]: B };

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
/** Name of a controller, and of its slice. */
export type NodeName = Brand<string, 'NodeName'>;
/** One life of a controller process; a restart gets a new one. */
export type Incarnation = Brand<string, 'Incarnation'>;
/** Version of one key in the state service; 0 says that the key does not exist. */
export type Version = Brand<number, 'Version'>;
/** Revision of the whole state service. */
export type Revision = Brand<number, 'Revision'>;
/** Fencing token of a machine. */
export type FencingToken = Brand<number, 'Token'>;
/** Tells one start of a task from its others; the tasks of a gang share theirs. */
export type Attempt = Brand<number, 'Attempt'>;
/** Number of a task in its job, from 0. */
export type TaskIndex = number;

/** Takes text for a job id. */
export const jobId = (s: string) => s as JobId;
/** Takes text for a team's name. */
export const teamName = (s: string) => s as TeamName;
/** Takes text for a machine's name. */
export const machineName = (s: string) => s as MachineName;
/** Takes text for a type's name. */
export const typeName = (s: string) => s as TypeName;
/** Takes text for a zone's name. */
export const zoneName = (s: string) => s as Zone;
/** Takes text for a controller's name. */
export const nodeName = (s: string) => s as NodeName;
/** Takes text for the id of a process. */
export const incarnation = (s: string) => s as Incarnation;
/** Takes a number for a key's version. */
export const version = (n: number) => n as Version;
/** Takes a number for a revision. */
export const revision = (n: number) => n as Revision;
/** Takes a number for a fencing token. */
export const fencingToken = (n: number) => n as FencingToken;
/** Takes a number for an attempt. */
export const attempt = (n: number) => n as Attempt;

/** The version of a key that does not exist. */
export const NO_VERSION = version(0);

/** The name of a task in logs and on the wire. */
export const taskId = (job: JobId, index: TaskIndex): string => `${job}/${index}`;
