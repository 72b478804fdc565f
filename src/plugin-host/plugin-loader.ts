/**
 * Loads the plugins that the operators' settings enable. Each plugin is a separate file, which is read only
 * if the settings have a section `[packages.NAME]` for it.
 */
import { existsSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { SettingsError, firstSchemaError, type PlatformSettings } from '../config/platform-settings.js';
import type { LoadedPlugin, PluginDefinition } from './api.js';

const PLUGIN_NAME = /^[a-z][a-z0-9_]*$/;

/** The folder into which the build writes the plugins. */
export const PLUGIN_DIRECTORY = path.join(__dirname, 'packages');

const isPluginDefinition = (value: unknown): value is PluginDefinition =>
  typeof value === 'object' && value !== null && 'schema' in value && 'start' in value;

function loadDefinition(name: string, directory: string): PluginDefinition {
  const file = path.join(directory, `${name.replaceAll('_', '-')}.cjs`);
  if (!PLUGIN_NAME.test(name) || !existsSync(file))
    throw new SettingsError(`packages.${name}: there is no such package in ${directory}`);
  const { servicePackage } = createRequire(file)(file) as { servicePackage?: unknown };
  if (!isPluginDefinition(servicePackage))
    throw new SettingsError(
      `packages.${name}: ${file} is not a package, expected an export servicePackage with schema and start`,
    );
  return servicePackage;
}

/**
 * Validates the options of a plugin and fills in its defaults; `section` itself is not changed. Throws
 * `SettingsError` with the path of the invalid option.
 */
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

/**
 * Loads the plugin of each section and validates its options. Throws `SettingsError` if there is no such
 * plugin or its options are invalid.
 */
export function loadPlugins(
  sections: Readonly<Record<string, unknown>>,
  settings: PlatformSettings,
  directory = PLUGIN_DIRECTORY,
): LoadedPlugin[] {
  return Object.entries(sections).map(([name, section]) =>
    configurePlugin(name, loadDefinition(name, directory), section, settings),
  );
}
