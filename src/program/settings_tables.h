/** @file settings_tables.h The settings tables of all programs. */
#ifndef SETTINGS_TABLES_H
#define SETTINGS_TABLES_H

#include "settings.h"

/** @return Settings of glade_entry. */
std::span<const SettingSpec> EntrySettings();

/** @return Settings of glade_keeper. */
std::span<const SettingSpec> KeeperSettings();

/** @return Settings of glade_node. */
std::span<const SettingSpec> NodeSettings();

/** @return Settings of standin_platform. */
std::span<const SettingSpec> PlatformStandinSettings();

/** @return Settings of standin_endpoint. */
std::span<const SettingSpec> EndpointStandinSettings();

/** @return Content of docs/settings.md. */
std::string AllSettingsPage();

#endif /* SETTINGS_TABLES_H */
