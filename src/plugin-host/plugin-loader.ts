/**
 * Loads the packages that the operators' file enables. Each is a file of its own beside the program; without a section
 * `[packages.NAME]` nothing of it is read.
 */
import { existsSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { SettingsError, firstSchemaError, type PlatformSettings } from '../config/platform-settings.js';
import type { LoadedPlugin, PluginDefinition } from './api.js';

const PACKAGE_NAME = /^[a-z][a-z0-9_]*$/;

/** Where the build puts the packages. */
export const PACKAGES_DIRECTORY = path.join(__dirname, 'packages');

const isPackage = (value: unknown): value is PluginDefinition =>
  typeof value === 'object' && value !== null && 'schema' in value && 'start' in value;

function definitionOf(name: string, directory: string): PluginDefinition {
  const file = path.join(directory, `${name.replaceAll('_', '-')}.cjs`);
  if (!PACKAGE_NAME.test(name) || !existsSync(file))
    throw new SettingsError(`packages.${name}: there is no such package`);
  const { servicePackage } = createRequire(file)(file) as { servicePackage?: unknown };
  if (!isPackage(servicePackage)) throw new SettingsError(`packages.${name}: ${file} is not a package`);
  return servicePackage;
}

/** Checks the options of one package, with its defaults filled in. Throws `SettingsError` with the path. */
export function configurePlugin(
  name: string,
  definition: PluginDefinition,
  section: unknown,
  settings: PlatformSettings,
): LoadedPlugin {
  const options = structuredClone(section);
  const optionError = firstSchemaError(definition.schema, options) ?? definition.validate(options, settings);
  if (optionError !== null) throw new SettingsError(`packages.${name}.${optionError}`);
  return { name, definition, options };
}

/** Loads and checks all packages that have a section. Throws `SettingsError`. */
export function loadPlugins(
  sections: Readonly<Record<string, unknown>>,
  settings: PlatformSettings,
  directory = PACKAGES_DIRECTORY,
): LoadedPlugin[] {
  return Object.entries(sections).map(([name, section]) =>
    configurePlugin(name, definitionOf(name, directory), section, settings),
  );
}
