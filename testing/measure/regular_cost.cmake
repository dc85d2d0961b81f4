# measure-regular-cost: processor time of the regular work of one instance of
# the platform's daemon.
add_executable(measure-regular-cost
  ${CMAKE_CURRENT_LIST_DIR}/regular_cost.cpp
  ${CMAKE_CURRENT_LIST_DIR}/regular_cost_setup.cpp)
target_include_directories(measure-regular-cost PRIVATE ${PROJECT_SOURCE_DIR}/src)
target_compile_options(measure-regular-cost PRIVATE ${SASSAFRASKNOT_COMPILE_OPTIONS})
target_link_libraries(measure-regular-cost PRIVATE sassafrasknot_platform_stand_ins)
